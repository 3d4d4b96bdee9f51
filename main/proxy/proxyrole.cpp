#include "main/proxy/proxyrole.h"

#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration storeTimeout = std::chrono::milliseconds(1000);

// A question waits this long at the store. It bounds the age of what is known
// of keys, so it is well below the time in which a withdrawn key must stop.
constexpr StoreFeed::Pace operatorPace{std::chrono::milliseconds(1250), std::chrono::milliseconds(200)};

// While new weights spread, the list of endpoints changes all the time. What is urgent
// there, the leaving of an endpoint, may take two seconds to be known.
constexpr StoreFeed::Pace endpointPace{std::chrono::milliseconds(4000), std::chrono::milliseconds(600)};

constexpr Duration idleCheckPeriod = std::chrono::milliseconds(200);

// Other daemons take the request at once.
constexpr Duration retryAfterStop = std::chrono::milliseconds(20);

// After a start the store is read within some milliseconds; a request that
// comes before waits this long at the most.
constexpr Duration earlyPatience = std::chrono::milliseconds(60);

// Without a confirmation for this long callers are better served elsewhere.
constexpr Duration readyProofAge = std::chrono::milliseconds(3000);

// The part of the retry budget that is used; the rest covers requests that are counted late.
constexpr double retryShareUsed = 0.9;
constexpr Duration retryDivisionPeriod = std::chrono::milliseconds(500);

ShutdownPlan::Settings shutdownSettings(Duration grace)
{
    ShutdownPlan::Settings settings;
    settings.grace = grace;
    return settings;
}

EndpointPlacement::Settings plainPlacement()
{
    EndpointPlacement::Settings settings;
    settings.runningCostMs = 20;
    settings.failureCostMs = 30;
    return settings;
}

}

ProxyRole::ProxyRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings)
    : m_core(core)
    , m_platform(settings)
    , m_log(core.settings().daemon)
    , m_pool(core.loop())
    , m_listener(core.loop())
    , m_readyListener(core.loop())
    , m_store(m_pool, parseSocketAddress(core.settings().table), storeTimeout)
    , m_operators(core.loop(), m_store, m_log, operatorPace)
    , m_endpoints(core.loop(), m_store, m_log, endpointPace, settings.returnGrace)
    , m_engines(EndpointPlacement::Settings())
    , m_plain(plainPlacement())
    , m_kvStoreWatch(core.loop(), m_pool, m_operators, m_transfers.stored(), m_log)
    , m_retries(settings.retryShare * retryShareUsed, settings.retrySlack * retryShareUsed / QuotaGate::assumedDaemons)
    , m_freshness(settings.keyRevocation)
    , m_quotas(QuotaTolerance{settings.quotaOvershoot, settings.quotaSlack, settings.quotaWindow})
    , m_holders(core, links)
    , m_engineLinks(core, links, m_operators, m_endpoints, m_engines, m_quotas, m_log, settings.peerPort)
    , m_probes(core, links)
    , m_services{core.loop(),
                 m_listener,
                 m_pool,
                 m_operators,
                 m_endpoints,
                 m_engines,
                 m_plain,
                 m_transfers,
                 m_retries,
                 m_freshness,
                 m_quotas,
                 m_holders,
                 m_engineLinks,
                 m_probes,
                 m_log,
                 core.metrics(),
                 settings.weightsDeadline}
    , m_shutdown(shutdownSettings(settings.stopGrace))
{
    m_listener.onRequest([this](HttpListener::ExchangeId id, HttpIncoming request) {
        startCall(id, std::move(request));
    });
    m_listener.onGone([this](HttpListener::ExchangeId id) {
        m_early.erase(id);
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->callerGone();
        }
    });
    m_listener.onDrained([this](HttpListener::ExchangeId id) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->callerDrained();
        }
    });
    m_readyListener.onRequest([this](HttpListener::ExchangeId id, const HttpIncoming &request) {
        answerReadiness(id, request);
    });
    core.timers().subscribe(retryDivisionPeriod, [this](TimePoint) {
        m_retries.setMaximum(m_platform.retrySlack * retryShareUsed / m_quotas.daemons());
    });
    m_operators.onConfig([this](const TrafficConfig &config) {
        applyLimits(config);
        startEarly();
    });
    m_endpoints.onChange([this]() {
        startEarly();
    });
}

bool ProxyRole::open()
{
    if (!m_listener.open(parseSocketAddress(m_core.settings().httpListen))
        || !m_readyListener.open(parseSocketAddress(m_platform.readyListen))) {
        m_log.write("daemon", "cannot listen", {{"front", m_core.settings().httpListen}, {"ready", m_platform.readyListen}});
        return false;
    }
    m_operators.start();
    m_endpoints.start();
    m_kvStoreWatch.start();
    m_log.write("daemon", "started", {{"front", m_core.settings().httpListen}, {"zone", m_core.settings().zone}});
    return true;
}

void ProxyRole::applyLimits(const TrafficConfig &config)
{
    HttpListener::Limits limits;
    limits.read.maxHeaderBytes = config.limits.maxHeaderBytes;
    limits.read.maxBodyBytes = config.limits.maxBodyBytes;
    limits.headerTimeout = config.limits.headerTimeout;
    limits.idleTimeout = config.limits.idleTimeout;
    m_listener.setLimits(limits);
}

bool ProxyRole::knowsFleet() const
{
    return m_operators.config() != nullptr && m_endpoints.isKnown();
}

void ProxyRole::holdEarly(HttpListener::ExchangeId id, HttpIncoming request)
{
    m_early[id] = std::move(request);
    m_core.timers().subscribeOnce(earlyPatience, [this, id](TimePoint) {
        const auto found = m_early.find(id);
        if (found != m_early.end()) {
            HttpIncoming held = std::move(found->second);
            m_early.erase(found);
            startCall(id, std::move(held));
        }
    });
}

void ProxyRole::startEarly()
{
    if (!knowsFleet()) {
        return;
    }
    std::map<HttpListener::ExchangeId, HttpIncoming> early;
    early.swap(m_early);
    for (std::pair<const HttpListener::ExchangeId, HttpIncoming> &entry : early) {
        startCall(entry.first, std::move(entry.second));
    }
}

void ProxyRole::startCall(HttpListener::ExchangeId id, HttpIncoming request)
{
    if (!knowsFleet() && Loop::now() - request.arrived < earlyPatience) {
        holdEarly(id, std::move(request));
        return;
    }
    if (!m_shutdown.servesNewRequests(Loop::now())) {
        refuseWhileStopping(id, request);
        return;
    }
    std::unique_ptr<ProxyCall> call
        = std::make_unique<ProxyCall>(m_services, id, std::move(request), [this](HttpListener::ExchangeId ended) {
              endCall(ended);
          });
    ProxyCall &started = *call;
    m_calls[id] = std::move(call);
    started.start();
}

void ProxyRole::refuseWhileStopping(HttpListener::ExchangeId id, const HttpIncoming &request)
{
    const std::string requestId = platform::decodeCallerRequest(request.head).id;
    m_log.write("request", "stopping", {{"request", requestId}});
    m_listener.respond(id, platform::ownAnswerHead(errorAnswer(ErrorKind::Stopping).httpStatus, requestId, retryAfterStop),
                       errorAnswer(ErrorKind::Stopping).text);
}

void ProxyRole::endCall(HttpListener::ExchangeId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    // The call is the caller of this function; it goes with the next round.
    const std::shared_ptr<ProxyCall> call(std::move(found->second));
    m_calls.erase(found);
    m_core.timers().subscribeOnce(Duration::zero(), [call](TimePoint) {});
}

bool ProxyRole::isReady() const
{
    const TimePoint confirmedAt = m_operators.confirmedAt();
    return !m_shutdown.isStarted() && m_operators.config() != nullptr && m_endpoints.isKnown() && confirmedAt != timeNever
        && Loop::now() - confirmedAt < readyProofAge;
}

void ProxyRole::answerReadiness(HttpListener::ExchangeId id, const HttpIncoming &request)
{
    const bool isQuestion = platform::isReadinessQuestion(request.head.target);
    const int status = !isQuestion ? 404 : (isReady() ? 200 : 503);
    m_readyListener.respond(id, platform::ownAnswerHead(status, std::string(), std::nullopt), std::string());
}

void ProxyRole::applySettings(const Settings &settings)
{
    if (!settings.platform.has_value()) {
        return;
    }
    m_platform = *settings.platform;
    m_freshness = KeyFreshness(m_platform.keyRevocation);
    m_quotas.setTolerance(QuotaTolerance{m_platform.quotaOvershoot, m_platform.quotaSlack, m_platform.quotaWindow});
    m_services.weightsDeadline = m_platform.weightsDeadline;
    if (!m_shutdown.isStarted()) {
        m_shutdown = ShutdownPlan(shutdownSettings(m_platform.stopGrace));
    }
    m_log.write("daemon", "settings reloaded", {{"revocationMs", millisecondsText(m_platform.keyRevocation)}});
}

void ProxyRole::beginStop()
{
    m_shutdown.start(Loop::now());
    m_listener.beginStop();
    m_core.timers().subscribe(idleCheckPeriod, [this](TimePoint now) {
        if (m_shutdown.closesIdleConnections(now)) {
            m_listener.closeIdle();
        }
    });
    m_log.write("daemon", "stopping", {{"requests", std::to_string(m_calls.size())}});
}

bool ProxyRole::isIdle() const
{
    return m_shutdown.mayLeave(Loop::now(), m_calls.size());
}

}
