#include "main/proxy/proxyrole.h"

#include "main/feeds/eracounter.h"
#include "servers/intake/intakebounds.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

constexpr Duration storeTimeout = std::chrono::milliseconds(1000);

// The long poll timeout bounds the age of the known API keys, so it is well
// below the time in which a revoked key has to stop working.
constexpr StoreFeed::PollSettings operatorPolling{std::chrono::milliseconds(2000), std::chrono::milliseconds(200)};

constexpr Duration endpointPollTimeout = std::chrono::milliseconds(4000);

// The endpoint list changes constantly during a weights rollout, and each poll is a call to the store. The only urgent
// change is that an endpoint leaves; the fraction of the time allowed for it leaves room for a failed poll.
constexpr double drainLimitFraction = 0.3;

// The output to endpoints is counted about as often as the listener applies its budget.
constexpr Duration outputCountPeriod = std::chrono::milliseconds(100);

constexpr Duration idleCheckPeriod = std::chrono::milliseconds(200);

// The part of WeightsCutoff's margin by which an attempt on outdated weights may be given up later.
constexpr Duration weightsCheckPeriod = std::chrono::milliseconds(100);

// Other entry daemons accept the request immediately.
constexpr Duration retryAfterWhileStopping = std::chrono::milliseconds(20);

// The store is read within a few milliseconds of the start; a request that
// arrives earlier is held for at most this long.
constexpr Duration maxStartupHold = std::chrono::milliseconds(60);

// The daemon reports that it is not ready when the store has not responded for this long, so that callers use other daemons.
constexpr Duration maxReadyConfirmationAge = std::chrono::milliseconds(3000);

// Asked for of an endpoint whose service is no longer configured; an endpoint refuses a request for another one at any path.
constexpr const char *defaultHealthPath = "/health";

// Fraction of the permitted retries that is used; the rest absorbs requests that are counted late.
constexpr double usedRetryFraction = 0.9;
constexpr Duration retryBudgetUpdatePeriod = std::chrono::milliseconds(500);

ShutdownPlan::Settings shutdownSettings(Duration grace)
{
    ShutdownPlan::Settings settings;
    settings.grace = grace;
    return settings;
}

StoreFeed::PollSettings endpointPolling(Duration drainLimit)
{
    return StoreFeed::PollSettings{endpointPollTimeout, fromSeconds(toSeconds(drainLimit) * drainLimitFraction)};
}

EndpointPlacement::Settings plainPlacementSettings()
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
    , m_readinessListener(core.loop())
    , m_store(m_pool, parseSocketAddress(core.settings().table), storeTimeout)
    , m_operatorFeed(core.loop(), m_store, m_log, operatorPolling)
    , m_endpointFeed(core.loop(), m_store, m_log, endpointPolling(settings.drainLimit), settings.returnGrace)
    , m_enginePlacement(EndpointPlacement::Settings())
    , m_plainPlacement(plainPlacementSettings())
    , m_kvStoreWatch(core.loop(), m_pool, m_operatorFeed, m_transferPlanner.stores(), m_quotaGate, m_log)
    , m_retryBudget(settings.retryShare * usedRetryFraction, settings.retrySlack * usedRetryFraction / QuotaGate::defaultDaemonCount)
    , m_keyFreshness(settings.keyRevocation)
    , m_quotaGate(QuotaTolerance{settings.quotaOvershoot, settings.quotaSlack, settings.quotaWindow})
    , m_quotaClient(core, links)
    , m_engineLinks(core, links, m_operatorFeed, m_endpointFeed, m_enginePlacement, m_quotaGate, m_log, settings.peerPort)
    , m_engineProbes(core, links)
    , m_crashGuard(core.loop(), m_store, m_log, core.settings().daemon)
    , m_occupantCheck(core.loop(), m_pool, m_log)
    , m_streamVersions(core.loop(), m_store, m_log, m_endpointFeed, core.settings().daemon,
                       [this]() {
                           return m_quotaGate.daemonCount();
                       })
    , m_rollouts(makeRollouts(links))
    , m_endpointSignals(core.settings().daemon)
    , m_shutdown(shutdownSettings(settings.stopGrace))
    , m_services{core.loop(),
                 m_listener,
                 m_pool,
                 m_operatorFeed,
                 m_endpointFeed,
                 m_enginePlacement,
                 m_plainPlacement,
                 m_transferPlanner,
                 m_retryBudget,
                 m_keyFreshness,
                 m_quotaGate,
                 m_quotaClient,
                 m_engineLinks,
                 m_engineProbes,
                 m_crashGuard,
                 m_endpointLimits,
                 m_streamVersions,
                 m_endpointSignals,
                 m_shutdown,
                 m_log,
                 core.metrics(),
                 settings.weightsDeadline,
                 settings.usesEngineModel,
                 m_rollouts.get()}
{
    countStoreEras(m_store, core.metrics());
    applyLimits(TrafficConfig());
    m_readinessListener.setLimits(HttpListener::probeLimits());
    m_listener.onRefused([this](HttpListener::RefusalReason reason, std::size_t heldBytes) {
        handleRefusal(reason, heldBytes);
    });
    core.timers().subscribe(outputCountPeriod, [this](TimePoint) {
        m_listener.setOtherOutputBytes(m_pool.bufferedBytes());
    });
    m_listener.onRequest([this](HttpListener::ExchangeId id, HttpIncomingRequest request) {
        startCall(id, std::move(request));
    });
    m_listener.onClientDisconnected([this](HttpListener::ExchangeId id) {
        m_heldRequests.erase(id);
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->handleCallerDisconnect();
        }
    });
    m_listener.onDrained([this](HttpListener::ExchangeId id) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->handleCallerDrained();
        }
    });
    m_readinessListener.onRequest([this](HttpListener::ExchangeId id, const HttpIncomingRequest &request) {
        handleReadinessRequest(id, request);
    });
    core.timers().subscribe(retryBudgetUpdatePeriod, [this](TimePoint) {
        m_retryBudget.setMaximum(m_platform.retrySlack * usedRetryFraction / m_quotaGate.daemonCount());
    });
    m_operatorFeed.onConfig([this](const TrafficConfig &config) {
        applyLimits(config);
        m_endpointFeed.applyConfig(config);
        // The feed confirms the configuration only after it has applied it, and requests are not fresh before.
        m_core.timers().subscribeOnce(Duration::zero(), [this](TimePoint) {
            startHeldRequests();
        });
    });
    core.timers().subscribe(weightsCheckPeriod, [this](TimePoint now) {
        for (ProxyCall *call : currentCalls()) {
            call->abandonOldWeights(now);
        }
    });
    m_endpointFeed.onChange([this]() {
        startHeldRequests();
        handleListedStarts();
        checkOccupants();
    });
    m_streamVersions.onReady([this]() {
        startHeldRequests();
    });
    m_engineLinks.onEngineStarted([this](const std::string &address, std::int64_t startedMs) {
        const EndpointStart start{std::string(), address, startedMs};
        m_crashGuard.recordStarted(start);
        handleEndpointStarted(start);
    });
    m_engineLinks.onEngineSilent([this](const std::string &address) {
        for (ProxyCall *call : currentCalls()) {
            call->handleEndpointSilent(address);
        }
    });
}

std::unique_ptr<RolloutClient> ProxyRole::makeRollouts(PeerLinks &links)
{
    if (!m_platform.rollouts.has_value()) {
        return nullptr;
    }
    std::unique_ptr<RolloutClient> rollouts = std::make_unique<RolloutClient>(m_core, links, m_store, m_log, m_operatorFeed, m_endpointFeed,
                                                                              m_engineLinks, m_streamVersions, [this]() {
                                                                                  return m_quotaGate.daemonCount();
                                                                              });
    rollouts->onReady([this]() {
        startHeldRequests();
    });
    return rollouts;
}

void ProxyRole::handleListedStarts()
{
    // A handler may change the list, so the starts are copied.
    std::vector<EndpointStart> started;
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().inForce()) {
        const EndpointStart start{endpoint->id, endpoint->address, endpoint->startedMs};
        if (m_crashGuard.recordStarted(start)) {
            started.push_back(start);
        }
    }
    for (const EndpointStart &start : started) {
        handleEndpointStarted(start);
    }
}

void ProxyRole::checkOccupants()
{
    const EndpointDirectory &directory = m_endpointFeed.directory();
    std::map<std::string, EndpointStart> doubtful;
    for (const ProxyCall *call : currentCalls()) {
        const std::optional<EndpointStart> current = call->currentEndpoint();
        if (current.has_value() && directory.isDisplaced(current->id, current->address, current->startedMs)) {
            doubtful.emplace(current->address, *current);
        }
    }
    for (const ListedEndpoint *endpoint : directory.contested()) {
        doubtful.emplace(endpoint->address, EndpointStart{endpoint->id, endpoint->address, endpoint->startedMs});
    }
    for (const std::pair<const std::string, EndpointStart> &entry : doubtful) {
        m_occupantCheck.start(entry.second, healthPathOf(entry.second), [this, expected = entry.second](const std::string &occupant) {
            handleOccupant(expected, occupant);
        });
    }
}

void ProxyRole::handleEndpointStarted(const EndpointStart &start)
{
    for (ProxyCall *call : currentCalls()) {
        call->handleEndpointStarted(start);
    }
}

std::string ProxyRole::healthPathOf(const EndpointStart &start) const
{
    const ListedEndpoint *endpoint = m_endpointFeed.directory().find(start.id);
    const std::shared_ptr<const TrafficConfig> &config = m_operatorFeed.config();
    if (endpoint == nullptr || config == nullptr) {
        return defaultHealthPath;
    }
    const auto service = config->services.find(endpoint->service);
    return service == config->services.end() || service->second.healthPath.empty() ? defaultHealthPath : service->second.healthPath;
}

void ProxyRole::handleOccupant(const EndpointStart &expected, const std::string &occupant)
{
    m_endpointFeed.recordOccupant(expected.address, occupant);
    if (occupant == expected.id) {
        return;
    }
    for (ProxyCall *call : currentCalls()) {
        call->handleEndpointEnded(expected);
    }
}

std::vector<ProxyCall *> ProxyRole::currentCalls() const
{
    std::vector<ProxyCall *> calls;
    for (const std::pair<const HttpListener::ExchangeId, std::unique_ptr<ProxyCall>> &entry : m_calls) {
        calls.push_back(entry.second.get());
    }
    return calls;
}

bool ProxyRole::open()
{
    if (!m_listener.open(parseSocketAddress(m_core.settings().httpListen))
        || !m_readinessListener.open(parseSocketAddress(m_platform.readyListen))) {
        m_log.write("daemon", "failed to open listening sockets",
                    {{"front", m_core.settings().httpListen}, {"ready", m_platform.readyListen}});
        return false;
    }
    m_operatorFeed.start();
    m_endpointFeed.start();
    m_kvStoreWatch.start();
    m_crashGuard.start();
    m_streamVersions.start();
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
    const IntakeBounds bounds = IntakeBounds::derive(m_platform.memoryMb, m_platform.intakeMemoryMb, m_platform.maxDescriptors,
                                                     config.limits.maxBodyBytes + config.limits.maxHeaderBytes);
    limits.maxConnections = bounds.maxConnections;
    m_listener.setLimits(limits);
    m_listener.setMaxHeldBytes(bounds.maxHeldBytes);
    m_pool.setMaxHeldBytes(bounds.maxResponseBytes);
}

void ProxyRole::handleRefusal(HttpListener::RefusalReason reason, std::size_t heldBytes)
{
    const std::string name = HttpListener::refusalName(reason);
    m_core.metrics().increment("intake refused " + name);
    m_log.write("intake", "refused",
                {{"reason", name},
                 {"bytes", std::to_string(heldBytes)},
                 {"heldBytes", std::to_string(m_listener.heldBytes())},
                 {"connections", std::to_string(m_listener.openConnections())}});
}

bool ProxyRole::hasInitialState() const
{
    return m_operatorFeed.config() != nullptr && m_endpointFeed.hasSnapshot() && m_streamVersions.isReady()
        && (m_rollouts == nullptr || m_rollouts->isReady());
}

void ProxyRole::holdRequest(HttpListener::ExchangeId id, HttpIncomingRequest request)
{
    m_heldRequests[id] = std::move(request);
    m_core.timers().subscribeOnce(maxStartupHold, [this, id](TimePoint) {
        const auto found = m_heldRequests.find(id);
        if (found != m_heldRequests.end()) {
            HttpIncomingRequest heldRequest = std::move(found->second);
            m_heldRequests.erase(found);
            startCall(id, std::move(heldRequest));
        }
    });
}

void ProxyRole::startHeldRequests()
{
    if (!hasInitialState()) {
        return;
    }
    std::map<HttpListener::ExchangeId, HttpIncomingRequest> held;
    held.swap(m_heldRequests);
    for (std::pair<const HttpListener::ExchangeId, HttpIncomingRequest> &entry : held) {
        startCall(entry.first, std::move(entry.second));
    }
}

void ProxyRole::startCall(HttpListener::ExchangeId id, HttpIncomingRequest request)
{
    if (!hasInitialState() && Loop::now() - request.arrived < maxStartupHold) {
        holdRequest(id, std::move(request));
        return;
    }
    if (!m_shutdown.servesNewRequests(Loop::now())) {
        refuseWhileStopping(id, request);
        return;
    }
    std::unique_ptr<ProxyCall> call
        = std::make_unique<ProxyCall>(m_services, id, std::move(request), [this](HttpListener::ExchangeId ended) {
              removeCall(ended);
          });
    ProxyCall &started = *call;
    m_calls[id] = std::move(call);
    started.start();
}

void ProxyRole::refuseWhileStopping(HttpListener::ExchangeId id, const HttpIncomingRequest &request)
{
    const std::string requestId = platform::decodeCallerRequest(request.head).id;
    m_log.write("request", "refused while stopping", {{"request", requestId}});
    m_listener.respond(id, platform::localResponseHead(errorResponse(ErrorKind::Stopping).httpStatus, requestId, retryAfterWhileStopping),
                       errorResponse(ErrorKind::Stopping).text);
}

void ProxyRole::removeCall(HttpListener::ExchangeId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    // The call invokes this function itself, so its destruction is deferred to the next loop iteration.
    const std::shared_ptr<ProxyCall> call(std::move(found->second));
    m_calls.erase(found);
    m_core.timers().subscribeOnce(Duration::zero(), [call](TimePoint) {});
}

bool ProxyRole::isReady() const
{
    const TimePoint confirmedAt = m_operatorFeed.confirmedAt();
    return !m_shutdown.isStarted() && m_operatorFeed.config() != nullptr && m_endpointFeed.hasSnapshot() && confirmedAt != timeNever
        && Loop::now() - confirmedAt < maxReadyConfirmationAge;
}

void ProxyRole::handleReadinessRequest(HttpListener::ExchangeId id, const HttpIncomingRequest &request)
{
    const bool isReadinessRequest = platform::isReadinessRequest(request.head.target);
    const int status = !isReadinessRequest ? 404 : (isReady() ? 200 : 503);
    m_readinessListener.respond(id, platform::localResponseHead(status, std::string(), std::nullopt), std::string());
}

void ProxyRole::applySettings(const Settings &settings)
{
    if (!settings.platform.has_value()) {
        return;
    }
    m_platform = *settings.platform;
    m_keyFreshness = KeyFreshness(m_platform.keyRevocation);
    m_quotaGate.setTolerance(QuotaTolerance{m_platform.quotaOvershoot, m_platform.quotaSlack, m_platform.quotaWindow});
    m_services.weightsDeadline = m_platform.weightsDeadline;
    m_services.usesEngineModel = m_platform.usesEngineModel;
    applyLimits(m_operatorFeed.config() == nullptr ? TrafficConfig() : *m_operatorFeed.config());
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
    m_core.timers().subscribeOnce(m_shutdown.answerTime(), [this](TimePoint) {
        endOpenCalls();
    });
    m_log.write("daemon", "stopping", {{"requests", std::to_string(m_calls.size())}});
}

void ProxyRole::endOpenCalls()
{
    m_log.write("daemon", "ending open requests", {{"requests", std::to_string(m_calls.size())}});
    for (ProxyCall *call : currentCalls()) {
        call->endBeforeExit();
    }
}

bool ProxyRole::isIdle() const
{
    return m_shutdown.mayExit(Loop::now(), m_calls.size() + m_listener.unsentResponses());
}

}
