#include "main/rollouts/rolloutclient.h"

#include "drivers/rolloutrowjson.h"
#include "main/proxy/quotaclient.h"
#include "platform/rolloutcodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronspar
{

namespace
{

/** The table that the entry and endpoint daemons share; the keys are service names. */
constexpr const char *rolloutTable = "rollouts";

// A holder writes its row every 500 ms. Phases also arrive in permits, so the feed may lag by a second, a fifth of the
// default rollback time, for fewer calls to the store.
constexpr StoreFeed::PollSettings polling{std::chrono::seconds(20), std::chrono::seconds(1)};

// A permit is valid for a second, so that one lost report or permit does not end it.
constexpr Duration minReportPeriod = std::chrono::milliseconds(250);
// A holder receives at most 250 reports a second.
constexpr Duration reportPeriodPerDaemon = std::chrono::milliseconds(4);

// Permits to earlier reports have expired.
constexpr std::size_t keptReports = 8;

}

RolloutClient::Service::Service(HolderSelection::Selector selector)
    : holder(std::move(selector))
{
}

RolloutClient::RolloutClient(DaemonCore &core, PeerLinks &links, platform::StoreClient &store, DecisionLog &log, OperatorFeed &operatorFeed,
                             EndpointFeed &endpointFeed, EngineLinks &engineLinks, StreamVersions &streamVersions,
                             std::function<int()> daemonCount)
    : m_core(core)
    , m_links(links)
    , m_log(log)
    , m_operatorFeed(operatorFeed)
    , m_endpointFeed(endpointFeed)
    , m_engineLinks(engineLinks)
    , m_streamVersions(streamVersions)
    , m_daemonCount(std::move(daemonCount))
    , m_feed(core.loop(), store, log, rolloutTable, polling,
             StoreFeed::Handlers{[this](const std::vector<platform::StoreRow> &rows, bool) {
                                     handleSnapshot(rows);
                                 },
                                 [this](const std::vector<platform::StoreRow> &rows) {
                                     std::for_each(rows.begin(), rows.end(), [this](const platform::StoreRow &row) {
                                         applyRow(row);
                                     });
                                 },
                                 [](TimePoint) {}, [](TimePoint) {}})
{
    m_operatorFeed.onOrder([this](const RolloutOrder &order) {
        handleOrder(order);
    });
    m_endpointFeed.onChange([this]() {
        updateListed();
    });
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.rolloutPermit) {
            handlePermit(body.rolloutPermit);
        }
    });
    scheduleTick();
}

void RolloutClient::onReady(std::function<void()> handler)
{
    m_readyHandler = std::move(handler);
}

bool RolloutClient::isReady() const
{
    return !m_isFollowing || m_feed.hasSnapshot();
}

RolloutClient::Service &RolloutClient::serviceOf(const std::string &name)
{
    std::unique_ptr<Service> &service = m_services[name];
    if (service == nullptr) {
        service = std::make_unique<Service>([name](const std::set<std::string> &addresses) {
            return QuotaClient::selectHolder(platform::rolloutKey(name), addresses);
        });
    }
    return *service;
}

std::int64_t RolloutClient::orderOf(const Service &service)
{
    const std::optional<RolloutOrder> &order = service.access.order();
    return order.has_value() ? order->id : 0;
}

const char *RolloutClient::versionName(const Service &service, const std::string &version)
{
    const std::optional<RolloutOrder> &order = service.access.order();
    return order.has_value() && order->to == version ? "new" : "old";
}

void RolloutClient::handleOrder(const RolloutOrder &order)
{
    updateListed();
    Service &service = serviceOf(order.service);
    service.access.setOrder(order, Loop::now());
    logPhase(order.service, service);
    if (!std::exchange(m_isFollowing, true)) {
        m_feed.start();
    }
}

void RolloutClient::handleSnapshot(const std::vector<platform::StoreRow> &rows)
{
    std::set<std::string> found;
    for (const platform::StoreRow &row : rows) {
        if (!row.isDeleted) {
            found.insert(row.key);
        }
    }
    for (const std::pair<const std::string, std::unique_ptr<Service>> &entry : m_services) {
        if (found.count(entry.first) == 0) {
            entry.second->access.setRow(std::nullopt, Loop::now());
        }
    }
    for (const platform::StoreRow &row : rows) {
        applyRow(row);
    }
    if (m_readyHandler) {
        // The feed has a snapshot only once this function has returned.
        m_core.timers().subscribeOnce(Duration::zero(), [this](TimePoint) {
            m_readyHandler();
        });
    }
}

void RolloutClient::applyRow(const platform::StoreRow &row)
{
    Service &service = serviceOf(row.key);
    if (row.isDeleted) {
        m_log.write("rollouts", "row removed", {{"service", row.key}, {"row", std::to_string(row.version)}});
        service.access.setRow(std::nullopt, Loop::now());
        return;
    }
    const std::optional<RolloutRow> decoded = decodeRolloutRow(row.value);
    if (!decoded.has_value()) {
        m_log.write("rollouts", "malformed row", {{"service", row.key}, {"row", std::to_string(row.version)}});
        return;
    }
    service.access.setRow(decoded, Loop::now());
    if (m_engineLinks.daemonAddresses().count(decoded->holderAddress) > 0) {
        service.holder.recordHolder(decoded->holderAddress, Loop::now());
    }
    logPhase(row.key, service);
}

void RolloutClient::updateListed()
{
    const std::shared_ptr<const TrafficConfig> &config = m_operatorFeed.config();
    if (config == nullptr) {
        return;
    }
    for (const std::pair<const std::string, TrafficService> &entry : config->services) {
        updateListed(entry.first);
    }
}

void RolloutClient::updateListed(const std::string &name)
{
    const TimePoint now = Loop::now();
    Service &service = serviceOf(name);
    std::map<std::string, TimePoint> usableSince;
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().available(name)) {
        const std::string &version = endpoint->softwareVersion;
        if (usableSince.count(version) == 0) {
            const TimePoint seen = service.seenSince.emplace(version, now).first->second;
            usableSince[version] = m_streamVersions.inUseSince(name, version).value_or(seen);
        }
    }
    service.access.setListed(usableSince, now);
}

void RolloutClient::scheduleTick()
{
    const Duration period = std::max(minReportPeriod, reportPeriodPerDaemon * m_daemonCount());
    m_core.timers().subscribeOnce(period, [this](TimePoint) {
        tick();
        scheduleTick();
    });
}

void RolloutClient::tick()
{
    updateListed();
    for (const std::pair<const std::string, std::unique_ptr<Service>> &entry : m_services) {
        logPhase(entry.first, *entry.second);
        if (entry.second->access.isReporting(Loop::now())) {
            report(entry.first, *entry.second);
        }
    }
}

void RolloutClient::report(const std::string &name, Service &service)
{
    const TimePoint now = Loop::now();
    const std::string address = service.holder.target(m_engineLinks.daemonAddresses(), now);
    if (address.empty()) {
        return;
    }
    const RolloutReport report = service.access.report(now);
    wire::RolloutReport message;
    message.__set_serviceName(name);
    message.__set_order(orderOf(service));
    message.__set_sequence(++service.lastSequence);
    message.__set_phase(static_cast<std::int32_t>(report.phase));
    message.__set_oldRunning(report.oldRunning);
    std::vector<wire::RolloutCounts> counts;
    for (const std::pair<const std::pair<std::string, bool>, VersionCounts> &entry : report.counts) {
        wire::RolloutCounts row;
        row.__set_route(entry.first.first);
        row.__set_isNew(entry.first.second);
        row.__set_sent(entry.second.sent);
        row.__set_ended(entry.second.ended);
        row.__set_failed(entry.second.failed);
        row.__set_times(std::vector<std::int64_t>(entry.second.times.begin(), entry.second.times.end()));
        counts.push_back(std::move(row));
    }
    message.__set_counts(counts);
    wire::Body body;
    body.__set_rolloutReport(message);
    if (!m_links.sendTo(address, body)) {
        m_log.write("rollouts", "report not sent", {{"service", name}, {"holder", address}});
    }
    service.holder.recordSent(now);
    service.sent[service.lastSequence] = SentReport{address, now};
    if (service.sent.size() > keptReports) {
        service.sent.erase(service.sent.begin());
    }
}

void RolloutClient::handlePermit(const wire::RolloutPermit &permit)
{
    const auto found = m_services.find(permit.serviceName);
    if (found == m_services.end()) {
        return;
    }
    Service &service = *found->second;
    const auto sent = service.sent.find(permit.sequence);
    if (sent == service.sent.end()) {
        return;
    }
    const SentReport report = sent->second;
    const TimePoint now = Loop::now();
    service.sent.erase(sent);
    service.holder.recordAnswer(report.address);
    if (orderOf(service) != permit.order) {
        return;
    }
    if (!permit.isHolder) {
        if (m_engineLinks.daemonAddresses().count(permit.holderAddress) > 0) {
            service.holder.recordHolder(permit.holderAddress, now);
        }
        return;
    }
    const bool isPhaseKnown = permit.phase >= static_cast<std::int32_t>(RolloutPhase::Canary)
        && permit.phase <= static_cast<std::int32_t>(RolloutPhase::Reverted);
    if (!isPhaseKnown) {
        m_log.write("rollouts", "malformed permit", {{"service", permit.serviceName}, {"phase", std::to_string(permit.phase)}});
        return;
    }
    RolloutPermit decoded;
    decoded.isHolder = true;
    decoded.phase = static_cast<RolloutPhase>(permit.phase);
    decoded.granted = permit.granted;
    decoded.share = permit.share;
    decoded.validity = std::chrono::milliseconds(permit.validMilliseconds);
    decoded.canaryEndpoints = permit.canaryEndpoints;
    decoded.holderAddress = permit.holderAddress;
    service.access.setPermit(decoded, report.sentAt, now);
    logPhase(permit.serviceName, service);
}

void RolloutClient::logPhase(const std::string &name, Service &service)
{
    const std::optional<RolloutOrder> &order = service.access.order();
    if (!order.has_value()) {
        return;
    }
    const RolloutPhase phase = service.access.phase(Loop::now());
    if (service.loggedOrder == order->id && service.loggedPhase == phase) {
        return;
    }
    service.loggedOrder = order->id;
    service.loggedPhase = phase;
    m_log.write("rollouts", "phase at this daemon",
                {{"service", name}, {"order", std::to_string(order->id)}, {"to", order->to}, {"phase", rolloutPhaseName(phase)}});
    m_core.metrics().increment(std::string("rollouts ") + rolloutPhaseName(phase));
}

std::optional<RolloutClient::Decision> RolloutClient::decide(const std::string &service, const std::string &route,
                                                             const std::optional<std::string> &pinned)
{
    Service &state = serviceOf(service);
    const std::optional<VersionAccess::Access> access = state.access.decide(route, pinned, Loop::now());
    if (!access.has_value()) {
        m_log.write("rollouts", "no version allowed", {{"service", service}, {"route", route}, {"software", pinned.value_or("")}});
        return std::nullopt;
    }
    return Decision{*access, pinned.has_value(), orderOf(state)};
}

bool RolloutClient::maySend(const std::string &service, const std::string &version, const Decision &decision)
{
    const Service &state = serviceOf(service);
    const bool isGranted = decision.access.required.has_value() && decision.order == orderOf(state);
    const bool isAllowed = state.access.maySend(version, isGranted, decision.isPinned, Loop::now());
    if (!isAllowed) {
        updateListed(service);
    }
    return isAllowed;
}

void RolloutClient::returnGrant(const std::string &service, const Decision &decision)
{
    Service &state = serviceOf(service);
    // A grant of an earlier order has ended with it.
    if (decision.access.required.has_value() && decision.order == orderOf(state)) {
        state.access.returnGrant(Loop::now());
    }
}

RolloutClient::AttemptId RolloutClient::recordSent(const std::string &service, const std::string &route, const std::string &version)
{
    Service &state = serviceOf(service);
    state.access.recordSentTo(route, version);
    if (orderOf(state) != 0) {
        m_core.metrics().increment(std::string("rollout requests ") + versionName(state, version));
    }
    const AttemptId id = ++m_lastAttempt;
    m_attempts.emplace(id, Attempt{service, route, version, orderOf(state), Loop::now(), std::nullopt});
    return id;
}

void RolloutClient::recordFirstEvent(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && !found->second.timeToFirstEvent.has_value()) {
        found->second.timeToFirstEvent = Loop::now() - found->second.sentAt;
    }
}

void RolloutClient::recordEnded(AttemptId id, bool isFailed)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    Service &state = serviceOf(attempt.service);
    if (attempt.order != orderOf(state)) {
        // It runs no more, but is no evidence about the order that has come since.
        state.access.recordWithdrawnFrom(attempt.route, attempt.version);
        return;
    }
    const Duration time = attempt.timeToFirstEvent.value_or(Loop::now() - attempt.sentAt);
    state.access.recordEndedAt(attempt.route, attempt.version, isFailed ? std::nullopt : std::optional<Duration>(time));
    if (isFailed && attempt.order != 0) {
        m_core.metrics().increment(std::string("rollout bad responses ") + versionName(state, attempt.version));
    }
}

void RolloutClient::recordWithdrawn(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    serviceOf(attempt.service).access.recordWithdrawnFrom(attempt.route, attempt.version);
}

}
