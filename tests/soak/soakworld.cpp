#include "tests/soak/soakworld.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <utility>

namespace citronspar::soak
{

namespace
{

constexpr int daemonCount = 3;
constexpr int endpointCount = 3;

constexpr Duration requestPeriod = std::chrono::milliseconds(12);
constexpr Duration callerPatience = std::chrono::seconds(3);
constexpr Duration restartPeriod = std::chrono::milliseconds(300);
// The users allow this long until callers are served again.
constexpr Duration recovery = std::chrono::seconds(12);
constexpr int servedWhenRecovered = 20;

constexpr const char *firstKey = "key-one";
constexpr const char *secondKey = "key-two";
constexpr const char *firstAccount = "one";
constexpr const char *secondAccount = "two";

// By Promises::Kind.
constexpr std::array<const char *, 4> prefixes = {"/once/", "/plain/", "/again/", "/resume/"};

const char *prefixOf(Promises::Kind kind)
{
    return prefixes[static_cast<std::size_t>(kind)];
}

nlohmann::json routeOf(Promises::Kind kind, const char *routeKind, int timeoutMs)
{
    return {{"name", prefixOf(kind)},
            {"host", "h"},
            {"prefix", prefixOf(kind)},
            {"routeKind", routeKind},
            {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 500},
            {"priority", 1},
            {"service", "app"},
            {"maxAttempts", 3},
            {"public", false},
            {"resumable", kind == Promises::Kind::ResumableStream}};
}

}

SoakWorld::SoakWorld(Options options)
    : m_options(std::move(options))
    , m_store(m_loop, parseSocketAddress(addressAt(0)))
    , m_callers(m_loop)
    , m_random(m_options.seed)
{
    putConfig();
    for (int i = 0; i < endpointCount; ++i) {
        Endpoint endpoint;
        const std::size_t index = m_endpoints.size();
        endpoint.listener = std::make_unique<HttpListener>(m_loop);
        endpoint.listener->onRequest([this, index](HttpListener::ExchangeId id, const HttpIncoming &request) {
            run(index, id, request);
        });
        endpoint.listener->open(parseSocketAddress(addressAt(10 + i)));
        endpoint.proxy = std::make_unique<FaultProxy>(m_loop, parseSocketAddress(addressAt(20 + i)), parseSocketAddress(addressAt(10 + i)));
        m_endpoints.push_back(std::move(endpoint));
        listEndpoint(index, true);
    }
}

std::string SoakWorld::addressAt(int offset) const
{
    return "127.0.0.1:" + std::to_string(m_options.firstPort + offset);
}

int SoakWorld::draw(int below)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
}

Duration SoakWorld::drawTime(int fromMs, int toMs)
{
    return std::chrono::milliseconds(fromMs + draw(toMs - fromMs));
}

void SoakWorld::putConfig()
{
    const int timeoutMs = 700 + draw(500);
    nlohmann::json accounts = {{{"name", firstAccount}, {"apiKeys", {firstKey}}}};
    if (m_isSecondKeyGood) {
        accounts.push_back({{"name", secondAccount}, {"apiKeys", {secondKey}}});
    }
    const nlohmann::json config
        = {{"version", m_configVersion},
           {"routes",
            {routeOf(Promises::Kind::Once, "non_idempotent", timeoutMs), routeOf(Promises::Kind::PlainStream, "stream", timeoutMs),
             routeOf(Promises::Kind::Idempotent, "idempotent", timeoutMs), routeOf(Promises::Kind::ResumableStream, "stream", timeoutMs)}},
           {"services", {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 50}}}},
           {"limits", nlohmann::json::object()},
           {"tenants", accounts}};
    m_configVersion += 1 + draw(3);
    m_store.put("op", "config", config.dump());
}

void SoakWorld::listEndpoint(std::size_t index, bool isReady)
{
    Endpoint &endpoint = m_endpoints[index];
    if (endpoint.instance.empty()) {
        endpoint.instance = "i-" + std::to_string(index) + "-" + std::to_string(++endpoint.incarnation);
    }
    const nlohmann::json entry = {{"service", "app"},
                                  {"addr", addressAt(20 + static_cast<int>(index))},
                                  {"zone", "a"},
                                  {"version", "v1"},
                                  {"slots", 8},
                                  {"state", isReady ? "ready" : "draining"},
                                  {"coldLeftMs", 0},
                                  {"sequence", 1},
                                  {"born", 1000 + endpoint.incarnation}};
    m_store.put("servers", endpoint.instance, entry.dump());
}

void SoakWorld::run(std::size_t index, HttpListener::ExchangeId id, const HttpIncoming &request)
{
    Endpoint &endpoint = m_endpoints[index];
    const std::string requestId = request.head.value("Citronspar-Request-Id");
    HttpHead refusal;
    refusal.set("Citronspar-Request-Id", requestId);
    refusal.set("Citronspar-Not-Run", "1");
    if (request.head.value("Citronspar-Expect-Instance") != endpoint.instance) {
        refusal.status = 421;
        endpoint.listener->respond(id, refusal, std::string());
        return;
    }
    constexpr int busyPercent = 5;
    if (draw(100) < busyPercent) {
        refusal.status = 503;
        endpoint.listener->respond(id, refusal, std::string());
        return;
    }
    m_promises.noteRun(requestId, request.head.value("Citronspar-Tenant"));
    const std::string resume = request.head.value("Last-Event-Id");
    const int first = resume.empty() ? 1 : std::stoi(resume) + 1;
    m_loop.timers().subscribeOnce(drawTime(1, 60), [this, index, id, requestId, first](TimePoint) {
        answer(index, id, requestId, first);
    });
}

void SoakWorld::answer(std::size_t index, HttpListener::ExchangeId id, const std::string &request, int first)
{
    HttpListener &listener = *m_endpoints[index].listener;
    HttpHead head;
    head.status = 200;
    head.set("Citronspar-Request-Id", request);
    head.set("Citronspar-Server-Seal", "seal");
    constexpr int cutPercent = 6;
    listener.begin(id, head, -1);
    for (int number = first; number <= Promises::events; ++number) {
        const std::string event = Promises::event(request, number);
        if (!m_isCalm && draw(100) < cutPercent) {
            listener.write(id, std::string_view(event).substr(0, event.size() / 2));
            listener.abort(id);
            return;
        }
        listener.write(id, event);
    }
    listener.finish(id);
}

void SoakWorld::sendRequest()
{
    const Daemon &daemon = m_daemons[static_cast<std::size_t>(draw(daemonCount))];
    const Promises::Kind kind = static_cast<Promises::Kind>(draw(4));
    const bool isSecond = draw(4) == 0;
    const std::string id = "r" + std::to_string(++m_lastRequest);
    HttpCall call;
    call.target = parseSocketAddress(daemon.front);
    // Callers go on with open connections until the process is gone.
    call.poolKey = daemon.front;
    call.head.method = "POST";
    call.head.target = prefixOf(kind) + std::string("work");
    call.head.set("Host", "h");
    call.head.set("Citronspar-Request-Id", id);
    call.head.set("Citronspar-Deadline-Ms", "2500");
    call.head.set("Authorization", std::string("Bearer ") + (isSecond ? secondKey : firstKey));
    call.body = "body of " + id;
    call.echoHeader = "Citronspar-Request-Id";
    m_promises.noteSent(id, kind, isSecond ? secondAccount : firstAccount, Loop::now());
    m_callers.fetch(std::move(call), callerPatience, [this, id](HttpCallEnd end, const HttpHead &head, const std::string &body) {
        takeAnswer(id, end, head, body);
    });
}

void SoakWorld::takeAnswer(const std::string &id, HttpCallEnd end, const HttpHead &head, const std::string &body)
{
    if (end == HttpCallEnd::NotSent) {
        return;
    }
    const bool isSigned = head.find("Citronspar-Server-Seal") != nullptr;
    const bool isComplete = end == HttpCallEnd::Complete;
    m_promises.noteAnswer(id, head.status, isSigned, isComplete, body);
    constexpr int ok = 200;
    m_servedInCalm += m_isCalm && isComplete && head.status == ok ? 1 : 0;
}

void SoakWorld::harmLink(FaultProxy &proxy)
{
    constexpr FaultProxy::Mode modes[] = {FaultProxy::Mode::Delay, FaultProxy::Mode::Reset, FaultProxy::Mode::CutToServer,
                                          FaultProxy::Mode::CutToClient, FaultProxy::Mode::Silent};
    proxy.setMode(modes[draw(std::size(modes))]);
    m_loop.timers().subscribeOnce(drawTime(200, 2500), [&proxy](TimePoint) {
        proxy.setMode(FaultProxy::Mode::Pass);
    });
}

void SoakWorld::harmDaemon(Daemon &daemon)
{
    constexpr int signals[] = {SIGKILL, SIGTERM, SIGHUP, SIGSTOP};
    const int number = signals[draw(std::size(signals))];
    daemon.process->signal(number);
    if (number == SIGSTOP) {
        m_loop.timers().subscribeOnce(drawTime(100, 6000), [&daemon](TimePoint) {
            daemon.process->signal(SIGCONT);
        });
    }
}

void SoakWorld::harmStore()
{
    m_store.isBusy = draw(2) == 0;
    m_store.isSilent = !m_store.isBusy;
    if (draw(3) == 0) {
        m_store.forgetHistory();
    }
    m_loop.timers().subscribeOnce(drawTime(200, 5000), [this](TimePoint) {
        m_store.isBusy = false;
        m_store.isSilent = false;
    });
}

void SoakWorld::changeConfig()
{
    if (m_isSecondKeyGood && draw(3) == 0) {
        m_isSecondKeyGood = false;
        m_promises.noteWithdrawn(secondAccount, Loop::now());
    }
    putConfig();
}

void SoakWorld::replaceEndpoint()
{
    const std::size_t index = static_cast<std::size_t>(draw(endpointCount));
    Endpoint &endpoint = m_endpoints[index];
    const bool isAnnounced = draw(2) == 0;
    if (isAnnounced) {
        listEndpoint(index, false);
    }
    // Its successor has the same address and another identity.
    m_loop.timers().subscribeOnce(drawTime(0, 1500), [this, index, &endpoint](TimePoint) {
        m_store.put("servers", endpoint.instance, "", true);
        endpoint.instance.clear();
        listEndpoint(index, true);
    });
}

void SoakWorld::addFault()
{
    switch (draw(6)) {
    case 0:
        harmLink(*m_endpoints[static_cast<std::size_t>(draw(endpointCount))].proxy);
        break;
    case 1:
        harmLink(*m_daemons[static_cast<std::size_t>(draw(daemonCount))].store);
        break;
    case 2:
        harmDaemon(m_daemons[static_cast<std::size_t>(draw(daemonCount))]);
        break;
    case 3:
        harmStore();
        break;
    case 4:
        changeConfig();
        break;
    default:
        replaceEndpoint();
        break;
    }
    if (!m_isCalm) {
        m_loop.timers().subscribeOnce(drawTime(100, 700), [this](TimePoint) {
            if (!m_isCalm) {
                addFault();
            }
        });
    }
}

void SoakWorld::restartEnded()
{
    for (Daemon &daemon : m_daemons) {
        if (daemon.process->hasFailed()) {
            m_promises.noteExit(daemon.name);
        }
        if (!daemon.process->isRunning()) {
            daemon.process->start();
        }
    }
}

void SoakWorld::healAll()
{
    m_isCalm = true;
    m_store.isBusy = false;
    m_store.isSilent = false;
    for (Daemon &daemon : m_daemons) {
        daemon.process->signal(SIGCONT);
        daemon.store->setMode(FaultProxy::Mode::Pass);
    }
    for (const Endpoint &endpoint : m_endpoints) {
        endpoint.proxy->setMode(FaultProxy::Mode::Pass);
    }
}

void SoakWorld::runFor(Duration time)
{
    m_loop.timers().subscribeOnce(time, [this](TimePoint) {
        m_loop.stop();
    });
    m_loop.run();
}

bool SoakWorld::openDaemons()
{
    for (int i = 0; i < daemonCount; ++i) {
        Daemon daemon;
        daemon.name = "entry-" + std::to_string(i);
        daemon.front = addressAt(40 + i);
        daemon.store = std::make_unique<FaultProxy>(m_loop, parseSocketAddress(addressAt(30 + i)), parseSocketAddress(addressAt(0)));
        const nlohmann::json settings = {{"role", "entry"},
                                         {"daemon", daemon.name},
                                         {"zone", "a"},
                                         {"httpListen", daemon.front},
                                         {"peerListen", addressAt(50 + i)},
                                         {"table", addressAt(30 + i)},
                                         {"fleetSecret", "a secret of the soak's fleet"},
                                         {"logLayout", "json"},
                                         {"logLevel", "WARN"},
                                         {"platform",
                                          {{"readyListen", addressAt(60 + i)},
                                           {"metricsListen", addressAt(70 + i)},
                                           {"keyRevocationMs", 5000},
                                           {"stopGraceS", 4},
                                           {"retryShare", 0.2},
                                           {"retrySlack", 200},
                                           {"peerPort", m_options.firstPort + 50}}}};
        const std::string path = m_options.folder + "/" + daemon.name + ".json";
        std::ofstream(path) << settings.dump(2);
        daemon.process = std::make_unique<DaemonProcess>(m_options.program, path, m_options.folder + "/" + daemon.name + ".log");
        if (!daemon.process->start()) {
            return false;
        }
        m_daemons.push_back(std::move(daemon));
    }
    return true;
}

std::vector<std::string> SoakWorld::play()
{
    if (!openDaemons()) {
        return {"the daemons did not start"};
    }
    m_loop.timers().subscribe(restartPeriod, [this](TimePoint) {
        restartEnded();
    });
    runFor(std::chrono::seconds(1));
    const TimerService::TimerId traffic = m_loop.timers().subscribe(requestPeriod, [this](TimePoint) {
        sendRequest();
    });
    addFault();
    runFor(m_options.time);
    healAll();
    const TimePoint healedAt = Loop::now();
    while (m_servedInCalm < servedWhenRecovered && Loop::now() - healedAt < recovery) {
        runFor(std::chrono::milliseconds(100));
    }
    std::vector<std::string> broken;
    if (m_servedInCalm < servedWhenRecovered) {
        broken.push_back("callers are not served again after all faults have ended");
    }
    m_loop.timers().unsubscribe(traffic);
    // Late runs count too.
    runFor(callerPatience + std::chrono::seconds(1));
    m_promises.judgeEnd();
    broken.insert(broken.end(), m_promises.broken().begin(), m_promises.broken().end());
    return broken;
}

std::string SoakWorld::summary() const
{
    return std::to_string(m_promises.sent()) + " requests, " + std::to_string(m_promises.served()) + " served whole";
}

}
