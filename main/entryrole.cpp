#include "main/entryrole.h"

#include "core/digest.h"
#include "core/hash.h"
#include "drivers/log.h"
#include "main/modelcall.h"
#include "main/servicecall.h"

#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

const log4cxx::LoggerPtr logger = componentLogger("entry");

constexpr Duration tickPeriod = std::chrono::milliseconds(200);
// The load balancer needs this long to notice the failing health check and sends requests until then.
constexpr Duration balancerGracePeriod = std::chrono::seconds(3);
constexpr double retryShare = 0.2;
constexpr double retryBudgetCapacity = 50;
constexpr std::size_t maxCrashesPerRequest = 2;
constexpr Duration suspectBlockDuration = std::chrono::minutes(10);
constexpr std::size_t maxSuspects = 10000;

std::string bearerKey(const std::string &authorization)
{
    const std::string prefix = "Bearer ";
    return authorization.compare(0, prefix.size(), prefix) == 0 ? authorization.substr(prefix.size()) : std::string();
}

HttpServer::Limits serverLimits(const Settings &settings)
{
    HttpServer::Limits limits;
    limits.maxBodyBytes = settings.maxBodyBytes;
    return limits;
}

}

EntryRole::EntryRole(DaemonCore &core, PeerLinks &links, ConfigService &config, std::unique_ptr<RoutingStrategy> strategy)
    : m_core(core)
    , m_links(links)
    , m_config(config)
    , m_server(core.loop(), serverLimits(core.settings()))
    , m_writer(core, config)
    , m_limits(core, links, config, m_writer)
    , m_probes(core, links, config, std::move(strategy))
    , m_timelines(core, links, config)
    , m_operatorApi(core, config, m_writer, m_limits, m_timelines, m_server)
    , m_retries(retryShare, retryBudgetCapacity)
    , m_suspects(maxCrashesPerRequest, suspectBlockDuration, maxSuspects)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
    m_links.onClosed([this](PeerNetwork::LinkId link) {
        handleLinkClosed(link);
    });
}

bool EntryRole::open()
{
    if (!m_server.open(parseSocketAddress(m_core.settings().httpListen))) {
        LOG4CXX_ERROR(logger, "can't listen for callers on " << m_core.settings().httpListen);
        return false;
    }
    m_server.onRequest([this](HttpServer::ExchangeId id, HttpRequest request) {
        handleRequest(id, std::move(request));
    });
    m_server.onClientDisconnected([this](HttpServer::ExchangeId id) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->handleCallerDisconnect();
        }
    });
    m_server.onDrained([this](HttpServer::ExchangeId id) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end()) {
            found->second->handleDrained();
        }
    });
    m_limits.start();
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
    LOG4CXX_INFO(logger, "listening for callers on " << m_core.settings().httpListen);
    return true;
}

void EntryRole::reject(HttpServer::ExchangeId id, ErrorKind kind)
{
    const ErrorResponse &response = errorResponse(kind);
    m_core.metrics().increment(std::string("refused.") + response.name);
    m_server.respond(id, response.httpStatus, "application/json",
                     errorBody(kind, response.runState, m_core.nextId().toString(), Duration::zero()));
}

bool EntryRole::handleHealthCheck(HttpServer::ExchangeId id, const HttpRequest &request)
{
    if (request.path != "/healthz") {
        return false;
    }
    const bool isHealthy = !m_isStopping && m_config.isFresh();
    m_server.respond(id, isHealthy ? 200 : 503, "text/plain", isHealthy ? "ok\n" : "not serving\n");
    return true;
}

void EntryRole::handleRequest(HttpServer::ExchangeId id, HttpRequest request)
{
    if (handleHealthCheck(id, request) || m_operatorApi.handle(id, request)) {
        return;
    }
    m_core.metrics().increment("requests");
    m_retries.addRequest();
    if (Loop::now() >= m_rejectFrom) {
        reject(id, ErrorKind::EndpointLeaving);
        return;
    }
    if (!m_config.isFresh()) {
        reject(id, ErrorKind::NotFresh);
        return;
    }
    const Route *route = m_config.state().findRoute(request.path);
    if (route == nullptr) {
        reject(id, ErrorKind::UnknownRoute);
        return;
    }
    Caller caller;
    if (route->kind != RouteKind::Unauthenticated) {
        const std::string apiKey = bearerKey(request.authorization);
        if (apiKey.empty()) {
            reject(id, ErrorKind::KeyMissing);
            return;
        }
        const Key *key = m_config.state().findKeyByDigest(sha256Hex(apiKey));
        if (key == nullptr || key->isWithdrawn || m_config.state().findAccount(key->account) == nullptr) {
            reject(id, ErrorKind::KeyRejected);
            return;
        }
        caller = Caller{key->account, key->id};
    }
    // The key is not needed after authentication and must not be kept.
    request.authorization.clear();
    const std::shared_ptr<Call> call = makeCall(id, caller, *route, std::move(request));
    m_calls[id] = call;
    call->start();
}

std::shared_ptr<Call> EntryRole::makeCall(HttpServer::ExchangeId id, const Caller &caller, const Route &route, HttpRequest request)
{
    const CallServices services{m_core, m_links, m_config, m_limits, m_server, m_probes, m_retries, m_suspects};
    if (route.kind == RouteKind::Model) {
        return std::make_shared<ModelCall>(services, id, caller, route, std::move(request));
    }
    return std::make_shared<ServiceCall>(services, id, caller, route, std::move(request), route.kind == RouteKind::Unauthenticated);
}

std::shared_ptr<Call> EntryRole::findByAttempt(const wire::AttemptId &attempt)
{
    const AttemptId id{attempt.incarnation, attempt.counter};
    const auto known = m_exchangeByAttempt.find(id);
    if (known != m_exchangeByAttempt.end()) {
        const auto call = m_calls.find(known->second);
        const bool isCurrent = call != m_calls.end() && call->second->attempt() == id && !call->second->isFinished();
        return isCurrent ? call->second : nullptr;
    }
    for (const std::pair<const HttpServer::ExchangeId, std::shared_ptr<Call>> &entry : m_calls) {
        if (entry.second->attempt() == id && !entry.second->isFinished()) {
            m_exchangeByAttempt[id] = entry.first;
            return entry.second;
        }
    }
    return nullptr;
}

void EntryRole::removeStaleAttempts()
{
    for (auto it = m_exchangeByAttempt.begin(); it != m_exchangeByAttempt.end();) {
        const auto call = m_calls.find(it->second);
        const bool isCurrent = call != m_calls.end() && call->second->attempt() == it->first;
        it = isCurrent ? std::next(it) : m_exchangeByAttempt.erase(it);
    }
}

void EntryRole::handleMessage(const MessageOrigin &, const wire::Body &body)
{
    std::shared_ptr<Call> call;
    if (body.__isset.dispatchRefused) {
        call = findByAttempt(body.dispatchRefused.attempt);
        if (call != nullptr) {
            const ErrorKind kind = errorKindFromName(body.dispatchRefused.errorKind).value_or(ErrorKind::NoEndpoint);
            call->handleRefusal(call->attempt(), kind);
        }
    } else if (body.__isset.streamDelta) {
        call = findByAttempt(body.streamDelta.attempt);
        if (call != nullptr) {
            call->handleDelta(body.streamDelta);
        }
    } else if (body.__isset.streamEnd) {
        call = findByAttempt(body.streamEnd.attempt);
        if (call != nullptr) {
            call->handleStreamEnd(body.streamEnd);
        }
    } else if (body.__isset.suspectReport) {
        const wire::SuspectReport &report = body.suspectReport;
        const std::uint64_t crashId = hashBytes(report.endpoint, static_cast<std::uint64_t>(report.engineIncarnation));
        const std::size_t crashes = m_suspects.addCrash(static_cast<std::uint64_t>(report.requestDigest), crashId, Loop::now());
        m_core.record("suspects", "request suspected of an engine crash at " + report.endpoint + ", crashes: " + std::to_string(crashes));
    }
}

void EntryRole::handleLinkClosed(PeerNetwork::LinkId link)
{
    std::vector<std::shared_ptr<Call>> affected;
    for (const std::pair<const HttpServer::ExchangeId, std::shared_ptr<Call>> &entry : m_calls) {
        if (entry.second->link() == link && !entry.second->isFinished()) {
            affected.push_back(entry.second);
        }
    }
    for (const std::shared_ptr<Call> &call : affected) {
        call->handleLinkLoss();
    }
}

void EntryRole::tick(TimePoint now)
{
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        if (!it->second->isFinished() && now >= it->second->deadline()) {
            it->second->handleDeadline();
        }
        it = it->second->isFinished() ? m_calls.erase(it) : std::next(it);
    }
    removeStaleAttempts();
}

void EntryRole::applySettings(const Settings &)
{
    // Settings of this role take effect at startup only.
}

void EntryRole::beginStop()
{
    m_isStopping = true;
    m_rejectFrom = Loop::now() + balancerGracePeriod;
    m_core.record("entry", "stopping: new requests are rejected after the grace period for the load balancer");
}

bool EntryRole::isIdle() const
{
    return Loop::now() >= m_rejectFrom && m_calls.empty() && m_server.openExchanges() == 0;
}

}
