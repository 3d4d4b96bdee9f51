#include "main/rollouts/rolloutservice.h"

#include "drivers/rolloutrowjson.h"
#include "platform/names.h"
#include "platform/rolloutcodec.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

/** The table that the entry and endpoint daemons share; the keys are service names. */
constexpr const char *rolloutTable = "rollouts";

// A tenth of the period in which a holder has to write its row.
constexpr Duration tickPeriod = std::chrono::milliseconds(50);

// A daemon that is not the holder reads the row as often as the holder writes it, to notice that it no longer does.
constexpr Duration readPeriod = std::chrono::milliseconds(500);

constexpr Duration listReadPeriod = std::chrono::seconds(1);

// Refused calls are billed, yet the row has to be written soon after an outage; as for feeds.
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(700);

// Entry daemons that ended are forgotten after several times the time in which they count as out of touch.
constexpr Duration entryDaemonMemory = std::chrono::seconds(60);

bool isFinished(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::Reverted;
}

/** Returns nullopt if the message is malformed. */
std::optional<RolloutReport> decodeReport(const std::string &daemon, const wire::RolloutReport &message)
{
    const bool isPhaseKnown = message.phase >= static_cast<std::int32_t>(RolloutPhase::Canary)
        && message.phase <= static_cast<std::int32_t>(RolloutPhase::Reverted);
    if (!isPhaseKnown || message.oldRunning < 0) {
        return std::nullopt;
    }
    RolloutReport report;
    report.daemon = daemon;
    report.phase = static_cast<RolloutPhase>(message.phase);
    report.oldRunning = message.oldRunning;
    for (const wire::RolloutCounts &row : message.counts) {
        if (row.times.size() != VersionCounts::timeClasses || row.sent < 0 || row.ended < 0 || row.failed < 0) {
            return std::nullopt;
        }
        VersionCounts &counts = report.counts[{row.route, row.isNew}];
        counts.sent = row.sent;
        counts.ended = row.ended;
        counts.failed = row.failed;
        std::copy(row.times.begin(), row.times.end(), counts.times.begin());
    }
    return report;
}

}

RolloutService::Service::Service(RolloutHolder rolloutHolder)
    : holder(std::move(rolloutHolder))
{
}

RolloutService::RolloutService(DaemonCore &core, PeerLinks &links, platform::StoreClient &store, DecisionLog &log,
                               OperatorFeed &operatorFeed, StoreFeed::PollSettings listPolling, Duration returnGrace,
                               const RolloutBounds &bounds, Duration keyRevocation)
    : m_core(core)
    , m_links(links)
    , m_store(store)
    , m_log(log)
    , m_operatorFeed(operatorFeed)
    , m_endpointFeed(core.loop(), store, log, listPolling, returnGrace)
    , m_bounds(bounds)
    , m_keyRevocation(keyRevocation)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        if (body.__isset.entryHello) {
            m_entryDaemons[origin.sender] = Loop::now();
        } else if (body.__isset.rolloutReport) {
            handleReport(origin, body.rolloutReport);
        }
    });
    m_operatorFeed.onOrder([this](const RolloutOrder &order) {
        Service &service = serviceOf(order.service);
        service.holder.setOrder(order, Loop::now());
        service.totals.clear();
    });
    m_store.onEra([this](std::int64_t era) {
        handleEra(era);
    });
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
}

RolloutService::Service &RolloutService::serviceOf(const std::string &name)
{
    std::unique_ptr<Service> &service = m_services[name];
    if (service == nullptr) {
        service = std::make_unique<Service>(
            RolloutHolder(RolloutHolder::Identity{m_core.settings().daemon, m_core.settings().peerListen}, m_bounds, m_keyRevocation));
    }
    return *service;
}

void RolloutService::handleEra(std::int64_t era)
{
    if (std::exchange(m_era, era).value_or(era) == era) {
        return;
    }
    // The table may have lost rows; what was read of it is no longer known.
    for (const std::pair<const std::string, std::unique_ptr<Service>> &entry : m_services) {
        entry.second->isRereadDue = entry.second->holder.row().has_value();
    }
}

std::string RolloutService::incarnationName(const MessageOrigin &origin)
{
    // Incarnations are random numbers, and RolloutHolder takes the one with the highest number for the current one.
    std::vector<std::int64_t> &known = m_incarnations[origin.sender];
    auto found = std::find(known.begin(), known.end(), origin.incarnation);
    if (found == known.end()) {
        found = known.insert(known.end(), origin.incarnation);
    }
    return origin.sender + "#" + std::to_string(found - known.begin() + 1);
}

void RolloutService::handleReport(const MessageOrigin &origin, const wire::RolloutReport &message)
{
    const TimePoint now = Loop::now();
    const std::string daemon = incarnationName(origin);
    m_entryDaemons[origin.sender] = now;
    const std::optional<RolloutReport> report = decodeReport(daemon, message);
    if (!report.has_value()) {
        m_log.write("rollouts", "malformed report", {{"service", message.serviceName}, {"entry", origin.sender}});
        return;
    }
    const auto found = m_services.find(message.serviceName);
    RolloutPermit permit;
    // The order may be newer than the one that is known here, or older than a change that the entry daemon has not read yet.
    const bool isOrderKnown
        = found != m_services.end() && found->second->holder.order().has_value() && found->second->holder.order()->id == message.order;
    if (isOrderKnown) {
        Service &service = *found->second;
        updateFleet(message.serviceName, service, now);
        permit = service.holder.handleReport(*report, now);
        service.lastPermit = permit;
        DaemonTotals totals;
        for (const std::pair<const std::pair<std::string, bool>, VersionCounts> &entry : report->counts) {
            Totals &sums = entry.first.second ? totals.newVersion : totals.oldVersion;
            sums.requests += entry.second.sent;
            sums.failures += entry.second.failed;
        }
        service.totals[daemon] = totals;
    } else {
        m_log.write("rollouts", "report on another order",
                    {{"service", message.serviceName}, {"entry", origin.sender}, {"order", std::to_string(message.order)}});
    }
    wire::RolloutPermit answer;
    answer.__set_serviceName(message.serviceName);
    answer.__set_order(message.order);
    answer.__set_sequence(message.sequence);
    answer.__set_isHolder(permit.isHolder);
    answer.__set_phase(static_cast<std::int32_t>(permit.phase));
    answer.__set_granted(permit.granted);
    answer.__set_share(permit.share);
    answer.__set_validMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(permit.validity).count());
    answer.__set_canaryEndpoints(permit.canaryEndpoints);
    answer.__set_holderAddress(permit.holderAddress);
    wire::Body body;
    body.__set_rolloutPermit(answer);
    if (!m_links.send(origin.link, body)) {
        m_log.write("rollouts", "permit not sent", {{"service", message.serviceName}, {"entry", origin.sender}});
    }
}

void RolloutService::tick(TimePoint now)
{
    for (auto it = m_entryDaemons.begin(); it != m_entryDaemons.end();) {
        it = now - it->second > entryDaemonMemory ? m_entryDaemons.erase(it) : std::next(it);
    }
    for (const std::pair<const std::string, std::unique_ptr<Service>> &entry : m_services) {
        update(entry.first, *entry.second, now);
    }
}

bool RolloutService::isOwnRow(const Service &service) const
{
    const std::optional<RolloutRow> &row = service.holder.row();
    return row.has_value() && row->holder == m_core.settings().daemon && !isFinished(row->phase);
}

void RolloutService::update(const std::string &name, Service &service, TimePoint now)
{
    if (!service.holder.order().has_value() || (!service.holder.isActive(now) && !service.isRereadDue)) {
        return;
    }
    readList(now);
    if (service.isCallPending || now < service.nextCallAt || !m_endpointFeed.hasSnapshot()) {
        return;
    }
    updateFleet(name, service, now);
    const bool isReadDue = service.isRereadDue || service.readAt == timeNever || (!isOwnRow(service) && now - service.readAt >= readPeriod);
    if (service.holder.needsRow() || isReadDue) {
        read(name, service);
        return;
    }
    const std::optional<RolloutHolder::Write> due = service.holder.dueWrite(now);
    if (due.has_value()) {
        write(name, service, *due);
    }
}

void RolloutService::readList(TimePoint now)
{
    if (m_listReadAt != timeNever && now - m_listReadAt < listReadPeriod) {
        return;
    }
    m_listReadAt = now;
    const std::shared_ptr<const TrafficConfig> &config = m_operatorFeed.config();
    if (config != nullptr) {
        m_endpointFeed.applyConfig(*config);
    }
    m_endpointFeed.readOnce();
}

void RolloutService::updateFleet(const std::string &name, Service &service, TimePoint now)
{
    if (!m_endpointFeed.hasSnapshot()) {
        return;
    }
    RolloutHolder::Fleet fleet;
    std::set<std::string> oldVersions;
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().available(name)) {
        const bool isNew = endpoint->softwareVersion == service.holder.order()->to;
        ++(isNew ? fleet.newEndpoints : fleet.oldEndpoints);
        if (!isNew) {
            oldVersions.insert(endpoint->softwareVersion);
        }
    }
    fleet.oldVersions.assign(oldVersions.begin(), oldVersions.end());
    fleet.entryDaemons = m_entryDaemons;
    service.fleet = fleet;
    service.holder.setFleet(fleet, now);
}

void RolloutService::delayCalls(Service &service, TimePoint now)
{
    service.retryDelay = std::min(maxRetryDelay, std::max(minRetryDelay, service.retryDelay * 2));
    service.nextCallAt = now + service.retryDelay;
}

void RolloutService::read(const std::string &name, Service &service)
{
    service.isCallPending = true;
    const TimePoint sentAt = Loop::now();
    m_store.readRow(rolloutTable, name, [this, name, &service, sentAt](const platform::StoreReply &reply) {
        handleRead(name, service, sentAt, reply);
    });
}

void RolloutService::handleRead(const std::string &name, Service &service, TimePoint sentAt, const platform::StoreReply &reply)
{
    const TimePoint now = Loop::now();
    service.isCallPending = false;
    if (reply.failure.has_value() || !reply.rows.storeTime.has_value()) {
        m_log.write("rollouts", "row not read", {{"service", name}, {"status", std::to_string(reply.status)}});
        delayCalls(service, now);
        return;
    }
    m_storeClock.estimateAnswerTime(sentAt, now, *reply.rows.storeTime);
    const bool hasRow = !reply.rows.rows.empty();
    const std::optional<RolloutRow> row = hasRow ? decodeRolloutRow(reply.rows.rows.front().value) : std::nullopt;
    if (hasRow && !row.has_value()) {
        // The row limits the grants, so no decision is made until it can be decoded.
        m_log.write("rollouts", "malformed row", {{"service", name}, {"row", std::to_string(reply.rows.rows.front().version)}});
        delayCalls(service, now);
        return;
    }
    service.retryDelay = Duration::zero();
    service.readAt = now;
    service.isRereadDue = false;
    service.holder.setRow(row, hasRow ? reply.rows.rows.front().version : 0, *m_storeClock.offset(), now);
}

void RolloutService::write(const std::string &name, Service &service, const RolloutHolder::Write &write)
{
    platform::StoreTransaction transaction;
    transaction.expected.push_back({rolloutTable, name, write.expectedRow});
    transaction.expected.push_back({platform::names::operatorTable, platform::rolloutKey(name), write.expectedOrder});
    transaction.puts.push_back({rolloutTable, name, encodeRolloutRow(write.row)});
    if (write.isStatusDue) {
        transaction.puts.push_back(
            {platform::names::statusTable, platform::rolloutKey(name), platform::encodeRolloutStatus(name, write.row.to, write.row.phase)});
    }
    service.isCallPending = true;
    m_store.transact(transaction, [this, name, &service, write](const platform::StoreReply &reply) {
        handleWritten(name, service, write, reply);
    });
}

void RolloutService::handleWritten(const std::string &name, Service &service, const RolloutHolder::Write &write,
                                   const platform::StoreReply &reply)
{
    const TimePoint now = Loop::now();
    service.isCallPending = false;
    if (!reply.failure.has_value()) {
        service.retryDelay = Duration::zero();
        service.holder.handleWritten(RolloutHolder::WriteResult::Applied, reply.rows.version, now);
        logDecision(name, service, write);
        return;
    }
    const bool isConflict = reply.failure == platform::StoreFailure::Conflict;
    m_log.write("rollouts", "row not written",
                {{"service", name},
                 {"order", std::to_string(write.row.order)},
                 {"phase", rolloutPhaseName(write.row.phase)},
                 {"expectedRow", std::to_string(write.expectedRow)},
                 {"expectedOrder", std::to_string(write.expectedOrder)},
                 {"failure", isConflict ? "conflict" : "not known"},
                 {"status", std::to_string(reply.status)}});
    delayCalls(service, now);
    service.readAt = timeNever;
    service.holder.handleWritten(isConflict ? RolloutHolder::WriteResult::Conflict : RolloutHolder::WriteResult::Unknown, 0, now);
}

void RolloutService::logDecision(const std::string &name, Service &service, const RolloutHolder::Write &write)
{
    const RolloutRow &row = write.row;
    if (service.loggedOrder == row.order && service.loggedPhase == row.phase && !write.isStatusDue) {
        return;
    }
    service.loggedOrder = row.order;
    service.loggedPhase = row.phase;
    DaemonTotals sums;
    for (const std::pair<const std::string, DaemonTotals> &entry : service.totals) {
        sums.oldVersion.requests += entry.second.oldVersion.requests;
        sums.oldVersion.failures += entry.second.oldVersion.failures;
        sums.newVersion.requests += entry.second.newVersion.requests;
        sums.newVersion.failures += entry.second.newVersion.failures;
    }
    std::string from;
    for (const std::string &version : row.from) {
        from += (from.empty() ? "" : ",") + version;
    }
    m_log.write("rollouts", "phase",
                {{"service", name},
                 {"order", std::to_string(row.order)},
                 {"era", std::to_string(row.era)},
                 {"to", row.to},
                 {"from", from},
                 {"phase", rolloutPhaseName(row.phase)},
                 {"reason", row.reason},
                 {"judgement", service.holder.judgement().reason},
                 {"term", std::to_string(row.term)},
                 {"exposed", std::to_string(row.exposed)},
                 {"counted", std::to_string(row.counted)},
                 {"share", std::to_string(service.lastPermit.share)},
                 {"newRequests", std::to_string(sums.newVersion.requests)},
                 {"newFailures", std::to_string(sums.newVersion.failures)},
                 {"oldRequests", std::to_string(sums.oldVersion.requests)},
                 {"oldFailures", std::to_string(sums.oldVersion.failures)},
                 {"newEndpoints", std::to_string(service.fleet.newEndpoints)},
                 {"oldEndpoints", std::to_string(service.fleet.oldEndpoints)},
                 {"entryDaemons", std::to_string(service.fleet.entryDaemons.size())},
                 {"deadlineInMs",
                  millisecondsText(row.deadline + m_storeClock.offset().value_or(Duration::zero()) - Loop::now().time_since_epoch())}});
    m_core.metrics().increment(std::string("rollouts ") + rolloutPhaseName(row.phase));
}

}
