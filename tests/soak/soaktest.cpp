#include "tests/soak/soaktest.h"

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

constexpr Duration requestInterval = std::chrono::milliseconds(12);
constexpr Duration callerTimeout = std::chrono::seconds(3);
constexpr Duration restartInterval = std::chrono::milliseconds(300);
// Callers must get responses again within this time after all faults have ended. The value is a requirement of the users.
constexpr Duration recoveryTimeout = std::chrono::seconds(12);
constexpr int requiredCompletedAfterFaults = 20;

constexpr const char *firstKey = "key-one";
constexpr const char *secondKey = "key-two";
constexpr const char *firstAccount = "one";
constexpr const char *secondAccount = "two";

// Indexed by GuaranteeChecker::Kind.
constexpr std::array<const char *, 4> pathPrefixes = {"/once/", "/plain/", "/again/", "/resume/"};

const char *pathPrefix(GuaranteeChecker::Kind kind)
{
    return pathPrefixes[static_cast<std::size_t>(kind)];
}

nlohmann::json routeConfig(GuaranteeChecker::Kind kind, const char *routeKind, int timeoutMs)
{
    return {{"name", pathPrefix(kind)},
            {"host", "h"},
            {"prefix", pathPrefix(kind)},
            {"routeKind", routeKind},
            {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 500},
            {"priority", 1},
            {"service", "app"},
            {"maxAttempts", 3},
            {"public", false},
            {"resumable", kind == GuaranteeChecker::Kind::ResumableStream}};
}

}

SoakTest::SoakTest(Options options)
    : m_options(std::move(options))
    , m_platformStore(m_loop, parseSocketAddress(addressAt(0)))
    , m_callerPool(m_loop)
    , m_random(m_options.seed)
{
    publishConfig();
    for (int i = 0; i < endpointCount; ++i) {
        Endpoint endpoint;
        const std::size_t index = m_endpoints.size();
        endpoint.listener = std::make_unique<HttpListener>(m_loop);
        endpoint.listener->onRequest([this, index](HttpListener::ExchangeId id, const HttpIncomingRequest &request) {
            handleRequest(index, id, request);
        });
        endpoint.listener->open(parseSocketAddress(addressAt(10 + i)));
        endpoint.proxy = std::make_unique<FaultProxy>(m_loop, parseSocketAddress(addressAt(20 + i)), parseSocketAddress(addressAt(10 + i)));
        m_endpoints.push_back(std::move(endpoint));
        publishEndpoint(index, true);
    }
}

std::string SoakTest::addressAt(int offset) const
{
    return "127.0.0.1:" + std::to_string(m_options.firstPort + offset);
}

int SoakTest::randomBelow(int limit)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit));
}

Duration SoakTest::randomDuration(int fromMs, int toMs)
{
    return std::chrono::milliseconds(fromMs + randomBelow(toMs - fromMs));
}

void SoakTest::publishConfig()
{
    const int timeoutMs = 700 + randomBelow(500);
    nlohmann::json accounts = {{{"name", firstAccount}, {"apiKeys", {firstKey}}}};
    if (m_isSecondKeyValid) {
        accounts.push_back({{"name", secondAccount}, {"apiKeys", {secondKey}}});
    }
    const nlohmann::json config = {{"version", m_configVersion},
                                   {"routes",
                                    {routeConfig(GuaranteeChecker::Kind::Once, "non_idempotent", timeoutMs),
                                     routeConfig(GuaranteeChecker::Kind::PlainStream, "stream", timeoutMs),
                                     routeConfig(GuaranteeChecker::Kind::Idempotent, "idempotent", timeoutMs),
                                     routeConfig(GuaranteeChecker::Kind::ResumableStream, "stream", timeoutMs)}},
                                   {"services", {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 50}}}},
                                   {"limits", nlohmann::json::object()},
                                   {"tenants", accounts}};
    m_configVersion += 1 + randomBelow(3);
    m_newestConfig = config.dump();
    m_platformStore.put("op", "config", m_newestConfig);
}

void SoakTest::publishEndpoint(std::size_t index, bool isReady)
{
    Endpoint &endpoint = m_endpoints[index];
    endpoint.isReady = isReady;
    if (endpoint.instanceId.empty()) {
        endpoint.instanceId = "i-" + std::to_string(index) + "-" + std::to_string(++endpoint.incarnation);
    }
    const nlohmann::json row = {{"service", "app"},
                                {"addr", addressAt(20 + static_cast<int>(index))},
                                {"zone", "a"},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", isReady ? "ready" : "draining"},
                                {"coldLeftMs", 0},
                                {"sequence", 1},
                                {"born", 1000 + endpoint.incarnation}};
    m_platformStore.put("servers", endpoint.instanceId, row.dump());
}

void SoakTest::handleRequest(std::size_t index, HttpListener::ExchangeId id, const HttpIncomingRequest &request)
{
    Endpoint &endpoint = m_endpoints[index];
    const std::string requestId = request.head.value("Citronspar-Request-Id");
    HttpHead refusal;
    refusal.set("Citronspar-Request-Id", requestId);
    refusal.set("Citronspar-Not-Run", "1");
    if (request.head.value("Citronspar-Expect-Instance") != endpoint.instanceId) {
        refusal.status = 421;
        endpoint.listener->respond(id, refusal, std::string());
        return;
    }
    constexpr int refusalPercent = 5;
    if (randomBelow(100) < refusalPercent) {
        refusal.status = 503;
        endpoint.listener->respond(id, refusal, std::string());
        return;
    }
    m_checker.recordRun(requestId, request.head.value("Citronspar-Tenant"));
    const std::string lastEventId = request.head.value("Last-Event-Id");
    const int firstEvent = lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1;
    m_loop.timers().subscribeOnce(randomDuration(1, 60), [this, index, id, requestId, firstEvent](TimePoint) {
        sendResponse(index, id, requestId, firstEvent);
    });
}

void SoakTest::sendResponse(std::size_t index, HttpListener::ExchangeId id, const std::string &requestId, int firstEvent)
{
    HttpListener &listener = *m_endpoints[index].listener;
    HttpHead head;
    head.status = 200;
    head.set("Citronspar-Request-Id", requestId);
    head.set("Citronspar-Server-Seal", "seal");
    constexpr int abortPercent = 6;
    listener.begin(id, head, HttpBodyFraming::Chunked);
    for (int number = firstEvent; number <= GuaranteeChecker::eventsPerResponse; ++number) {
        const std::string event = GuaranteeChecker::eventText(requestId, number);
        if (!m_hasFaultPhaseEnded && randomBelow(100) < abortPercent) {
            listener.write(id, std::string_view(event).substr(0, event.size() / 2));
            listener.abort(id);
            return;
        }
        listener.write(id, event);
    }
    listener.finish(id);
}

void SoakTest::sendRequest()
{
    const Daemon &daemon = m_daemons[static_cast<std::size_t>(randomBelow(daemonCount))];
    const GuaranteeChecker::Kind kind = static_cast<GuaranteeChecker::Kind>(randomBelow(4));
    const bool isSecond = randomBelow(4) == 0;
    const std::string id = "r" + std::to_string(++m_lastRequestId);
    HttpCall call;
    call.target = parseSocketAddress(daemon.httpAddress);
    // Pools connections by address, so that callers keep using open connections until the process exits.
    call.poolKey = daemon.httpAddress;
    call.head.method = "POST";
    call.head.target = pathPrefix(kind) + std::string("work");
    call.head.set("Host", "h");
    call.head.set("Citronspar-Request-Id", id);
    call.head.set("Citronspar-Deadline-Ms", "2500");
    call.head.set("Authorization", std::string("Bearer ") + (isSecond ? secondKey : firstKey));
    call.body = "body of " + id;
    call.echoHeader = "Citronspar-Request-Id";
    m_checker.recordSent(id, kind, isSecond ? secondAccount : firstAccount, Loop::now());
    m_callerPool.fetch(std::move(call), callerTimeout, [this, id](HttpCallResult result, const HttpHead &head, const std::string &body) {
        handleResponse(id, result, head, body);
    });
}

void SoakTest::handleResponse(const std::string &id, HttpCallResult result, const HttpHead &head, const std::string &body)
{
    if (result == HttpCallResult::NotSent) {
        return;
    }
    const bool isSigned = head.find("Citronspar-Server-Seal") != nullptr;
    const bool isComplete = result == HttpCallResult::Complete;
    m_checker.recordResponse(id, head.status, isSigned, isComplete, body);
    constexpr int ok = 200;
    m_completedAfterFaults += m_hasFaultPhaseEnded && isComplete && head.status == ok ? 1 : 0;
}

void SoakTest::injectLinkFault(FaultProxy &proxy)
{
    constexpr FaultProxy::Mode modes[] = {FaultProxy::Mode::Delay, FaultProxy::Mode::Reset, FaultProxy::Mode::DropToServer,
                                          FaultProxy::Mode::DropToClient, FaultProxy::Mode::DropBoth};
    proxy.setMode(modes[randomBelow(std::size(modes))]);
    m_loop.timers().subscribeOnce(randomDuration(200, 2500), [&proxy](TimePoint) {
        proxy.setMode(FaultProxy::Mode::Pass);
    });
}

void SoakTest::injectDaemonFault(Daemon &daemon)
{
    constexpr int signals[] = {SIGKILL, SIGTERM, SIGHUP, SIGSTOP};
    const int signalNumber = signals[randomBelow(std::size(signals))];
    daemon.process->signal(signalNumber);
    if (signalNumber == SIGSTOP) {
        m_loop.timers().subscribeOnce(randomDuration(100, 6000), [&daemon](TimePoint) {
            daemon.process->signal(SIGCONT);
        });
    }
}

void SoakTest::injectStoreFault()
{
    m_platformStore.isUnavailable = randomBelow(2) == 0;
    m_platformStore.dropsRequests = !m_platformStore.isUnavailable;
    if (randomBelow(3) == 0) {
        m_platformStore.discardHistory();
    }
    const bool isRestored = m_hasStoreCopy && randomBelow(2) == 0;
    if (!m_hasStoreCopy || randomBelow(2) == 0) {
        m_platformStore.copyTables();
        m_hasStoreCopy = true;
    }
    m_loop.timers().subscribeOnce(randomDuration(200, 5000), [this, isRestored](TimePoint) {
        if (isRestored && !m_hasFaultPhaseEnded) {
            restoreStore();
        }
        m_platformStore.isUnavailable = false;
        m_platformStore.dropsRequests = false;
    });
}

void SoakTest::restoreStore()
{
    m_platformStore.restoreCopy();
    // The operators and the endpoints write again what the copy lacks.
    m_platformStore.put("op", "config", m_newestConfig);
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if (!m_endpoints[i].instanceId.empty()) {
            publishEndpoint(i, m_endpoints[i].isReady);
        }
    }
}

void SoakTest::changeConfig()
{
    if (m_isSecondKeyValid && randomBelow(3) == 0) {
        m_isSecondKeyValid = false;
        m_checker.recordKeyRevoked(secondAccount, Loop::now());
    }
    publishConfig();
}

void SoakTest::replaceEndpoint()
{
    const std::size_t index = static_cast<std::size_t>(randomBelow(endpointCount));
    Endpoint &endpoint = m_endpoints[index];
    const bool isDrainedFirst = randomBelow(2) == 0;
    if (isDrainedFirst) {
        publishEndpoint(index, false);
    }
    // The replacement has the same address and a different instance ID.
    m_loop.timers().subscribeOnce(randomDuration(0, 1500), [this, index, &endpoint](TimePoint) {
        m_platformStore.put("servers", endpoint.instanceId, "", true);
        endpoint.instanceId.clear();
        publishEndpoint(index, true);
    });
}

void SoakTest::injectFault()
{
    switch (randomBelow(6)) {
    case 0:
        injectLinkFault(*m_endpoints[static_cast<std::size_t>(randomBelow(endpointCount))].proxy);
        break;
    case 1:
        injectLinkFault(*m_daemons[static_cast<std::size_t>(randomBelow(daemonCount))].storeProxy);
        break;
    case 2:
        injectDaemonFault(m_daemons[static_cast<std::size_t>(randomBelow(daemonCount))]);
        break;
    case 3:
        injectStoreFault();
        break;
    case 4:
        changeConfig();
        break;
    default:
        replaceEndpoint();
        break;
    }
    if (!m_hasFaultPhaseEnded) {
        m_loop.timers().subscribeOnce(randomDuration(100, 700), [this](TimePoint) {
            if (!m_hasFaultPhaseEnded) {
                injectFault();
            }
        });
    }
}

void SoakTest::restartExitedDaemons()
{
    for (Daemon &daemon : m_daemons) {
        if (daemon.process->reapUnexpectedExit()) {
            m_checker.recordUnexpectedExit(daemon.name);
        }
        if (!daemon.process->isRunning()) {
            daemon.process->start();
        }
    }
}

void SoakTest::clearFaults()
{
    m_hasFaultPhaseEnded = true;
    m_platformStore.isUnavailable = false;
    m_platformStore.dropsRequests = false;
    for (Daemon &daemon : m_daemons) {
        daemon.process->signal(SIGCONT);
        daemon.storeProxy->setMode(FaultProxy::Mode::Pass);
    }
    for (const Endpoint &endpoint : m_endpoints) {
        endpoint.proxy->setMode(FaultProxy::Mode::Pass);
    }
}

void SoakTest::runFor(Duration duration)
{
    m_loop.timers().subscribeOnce(duration, [this](TimePoint) {
        m_loop.stop();
    });
    m_loop.run();
}

bool SoakTest::startDaemons()
{
    for (int i = 0; i < daemonCount; ++i) {
        Daemon daemon;
        daemon.name = "entry-" + std::to_string(i);
        daemon.httpAddress = addressAt(40 + i);
        daemon.storeProxy = std::make_unique<FaultProxy>(m_loop, parseSocketAddress(addressAt(30 + i)), parseSocketAddress(addressAt(0)));
        const nlohmann::json settings = {{"role", "entry"},
                                         {"daemon", daemon.name},
                                         {"zone", "a"},
                                         {"httpListen", daemon.httpAddress},
                                         {"peerListen", addressAt(50 + i)},
                                         {"table", addressAt(30 + i)},
                                         {"fleetSecret", "fleet secret of the soak test"},
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
        const std::string path = m_options.directory + "/" + daemon.name + ".json";
        std::ofstream(path) << settings.dump(2);
        daemon.process = std::make_unique<DaemonProcess>(m_options.program, path, m_options.directory + "/" + daemon.name + ".log");
        if (!daemon.process->start()) {
            return false;
        }
        m_daemons.push_back(std::move(daemon));
    }
    return true;
}

std::vector<std::string> SoakTest::execute()
{
    if (!startDaemons()) {
        return {"failed to start the daemons"};
    }
    m_loop.timers().subscribe(restartInterval, [this](TimePoint) {
        restartExitedDaemons();
    });
    runFor(std::chrono::seconds(1));
    const TimerService::TimerId requestTimer = m_loop.timers().subscribe(requestInterval, [this](TimePoint) {
        sendRequest();
    });
    injectFault();
    runFor(m_options.faultDuration);
    clearFaults();
    const TimePoint faultsClearedAt = Loop::now();
    while (m_completedAfterFaults < requiredCompletedAfterFaults && Loop::now() - faultsClearedAt < recoveryTimeout) {
        runFor(std::chrono::milliseconds(100));
    }
    std::vector<std::string> violations;
    if (m_completedAfterFaults < requiredCompletedAfterFaults) {
        violations.push_back("callers get too few complete responses after all faults were cleared");
    }
    m_loop.timers().unsubscribe(requestTimer);
    // Waits for requests in progress, so that their late runs are checked too.
    runFor(callerTimeout + std::chrono::seconds(1));
    m_checker.checkFinalState();
    violations.insert(violations.end(), m_checker.violations().begin(), m_checker.violations().end());
    return violations;
}

std::string SoakTest::summary() const
{
    return std::to_string(m_checker.sentCount()) + " requests, " + std::to_string(m_checker.completedCount()) + " complete responses";
}

}
