#include "main/proxy/crashguard.h"

#include "drivers/crashrowjson.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

/** The table in which the entry daemons share what they know about crashes. */
constexpr const char *crashTable = "crashes";

// Bounds the time for which a connection to the store that has become silent goes unnoticed. Crashes come in quick succession.
constexpr StoreFeed::PollSettings polling{std::chrono::milliseconds(2000), std::chrono::milliseconds(20)};

// Waits until the reports of crashes at the same moment can be written together.
constexpr Duration minUpdateDelay = std::chrono::milliseconds(2);
constexpr Duration writeRetryDelay = std::chrono::milliseconds(200);

// Limits of the store: 100 entries and 1 MB for one transaction.
constexpr std::size_t maxRowsPerWrite = 20;
constexpr std::size_t maxRemovalsPerWrite = 50;

constexpr int firstClientErrorStatus = 400;
constexpr int tooManyRequestsStatus = 429;
constexpr int firstServerErrorStatus = 500;

std::string joined(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

}

CrashGuard::CrashGuard(Loop &loop, platform::StoreClient &store, DecisionLog &log, const std::string &daemon)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_tracker(daemon)
    , m_endpointCheck(loop)
    , m_feed(loop, store, log, crashTable, polling,
             StoreFeed::Handlers{[this](const std::vector<platform::StoreRow> &rows, bool isOfNewEra) {
                                     handleSnapshot(rows, isOfNewEra);
                                 },
                                 [this](const std::vector<platform::StoreRow> &rows) {
                                     handleChanges(rows);
                                 },
                                 [](TimePoint) {}, [](TimePoint) {}})
{
}

void CrashGuard::start()
{
    m_feed.start();
}

std::vector<CrashRow> CrashGuard::decodeRows(const std::vector<platform::StoreRow> &rows)
{
    std::vector<CrashRow> decoded;
    const Duration offset = m_feed.clock().offset().value_or(Loop::now().time_since_epoch());
    for (const platform::StoreRow &row : rows) {
        if (row.isDeleted) {
            m_tracker.removeRow(row.key, Loop::now());
            m_trialVersions.erase(row.key);
            continue;
        }
        std::optional<CrashRow> crashRow = decodeCrashRow(row.key, row.value, offset);
        if (!crashRow.has_value()) {
            m_log.write("crashes", "malformed row", {{"key", row.key}, {"row", std::to_string(row.version)}});
            continue;
        }
        if (crashRow->kind == CrashRow::Kind::Trial) {
            m_trialVersions[row.key] = row.version;
        }
        decoded.push_back(std::move(*crashRow));
    }
    return decoded;
}

void CrashGuard::handleSnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra)
{
    m_trialVersions.clear();
    const std::vector<CrashRow> decoded = decodeRows(rows);
    if (isOfNewEra) {
        m_tracker.mergeOlderRows(decoded, Loop::now());
    } else {
        m_tracker.replaceRows(decoded, Loop::now());
    }
    m_log.write("crashes", "evidence read", {{"rows", std::to_string(rows.size())}});
    update();
}

void CrashGuard::handleChanges(const std::vector<platform::StoreRow> &rows)
{
    for (const CrashRow &row : decodeRows(rows)) {
        m_tracker.applyRow(row, Loop::now());
    }
    update();
}

CrashAttribution::Verdict CrashGuard::check(const std::vector<CrashSuspect> &suspects)
{
    return m_tracker.check(suspects, Loop::now());
}

CrashGuard::ClaimId CrashGuard::claimTrial(const std::vector<SuspectId> &suspects, ClaimHandler handler)
{
    const ClaimId id = ++m_lastClaim;
    m_claims[id] = std::move(handler);
    const Duration offset = m_feed.clock().offset().value_or(Duration::zero());
    platform::StoreTransaction transaction;
    std::vector<CrashRow> rows;
    for (const SuspectId suspect : suspects) {
        const CrashRow row = m_tracker.makeTrial(suspect, Loop::now());
        const std::string key = crashRowKey(row);
        const auto version = m_trialVersions.find(key);
        transaction.expected.push_back({crashTable, key, version == m_trialVersions.end() ? 0 : version->second});
        transaction.puts.push_back({crashTable, key, encodeCrashRow(row, offset)});
        rows.push_back(row);
    }
    // While the table can't be read, no other daemon can be asked, and blocked sound requests must have a way out.
    const bool isConnected = m_feed.isConnected();
    const std::optional<std::int64_t> era = m_feed.era();
    m_store.transact(transaction, [this, id, rows, isConnected, era](const platform::StoreReply &reply) {
        // In another era the expected versions have been given out again, and hold by accident.
        const bool isWritten = !reply.failure.has_value() && reply.era == era;
        const bool isClaimed
            = isWritten || (!isConnected && reply.failure.has_value() && reply.failure != platform::StoreFailure::Conflict);
        for (const CrashRow &row : rows) {
            // Without an answer the claim may have been stored, so this daemon does not try again before the next interval.
            m_tracker.applyRow(row, Loop::now());
            if (!reply.failure.has_value()) {
                m_trialVersions[crashRowKey(row)] = reply.rows.version;
            }
            m_log.write("crashes", isClaimed ? "trial claimed" : "trial not claimed", {{"suspect", suspectText(row.suspect)}});
        }
        const auto found = m_claims.find(id);
        if (found == m_claims.end()) {
            return;
        }
        const ClaimHandler claimHandler = std::move(found->second);
        m_claims.erase(found);
        claimHandler(isClaimed);
    });
    return id;
}

void CrashGuard::cancelClaim(ClaimId id)
{
    m_claims.erase(id);
}

void CrashGuard::recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt)
{
    m_tracker.recordCompleted(suspects, sentAt, Loop::now());
    scheduleUpdate(m_tracker.nextUpdateAt());
}

void CrashGuard::recordLost(const EndpointStart &start, const std::vector<CrashSuspect> &suspects)
{
    if (m_tracker.recordLost(start, suspects, Loop::now())) {
        checkEndpoint(start);
    }
    scheduleUpdate(m_tracker.nextUpdateAt());
}

void CrashGuard::recordUnanswered(const EndpointStart &start, const std::vector<CrashSuspect> &suspects)
{
    if (m_tracker.recordUnanswered(start, suspects, Loop::now())) {
        checkEndpoint(start);
    }
    scheduleUpdate(m_tracker.nextUpdateAt());
}

void CrashGuard::recordSilent(const EndpointStart &start, const std::vector<CrashSuspect> &suspects)
{
    if (m_tracker.recordUnanswered(start, suspects, Loop::now())) {
        checkEndpoint(start, true);
    }
    scheduleUpdate(m_tracker.nextUpdateAt());
}

void CrashGuard::checkEndpoint(const EndpointStart &start, bool isSilent)
{
    m_endpointCheck.start(parseSocketAddress(start.address), [this, start, isSilent](EndpointReachability reachability) {
        m_log.write("crashes", "endpoint checked", {{"endpoint", startName(start)}, {"result", EndpointCheck::resultName(reachability)}});
        if (isSilent && reachability == EndpointReachability::NoAnswer) {
            m_tracker.recordEnded(start, Loop::now());
        } else {
            m_tracker.recordReachability(start, reachability, Loop::now());
        }
        scheduleUpdate(m_tracker.nextUpdateAt());
    });
}

bool CrashGuard::recordStarted(const EndpointStart &start)
{
    const bool isNew = m_tracker.recordStarted(start, Loop::now());
    if (isNew) {
        scheduleUpdate(m_tracker.nextUpdateAt());
    }
    return isNew;
}

void CrashGuard::scheduleUpdate(TimePoint at)
{
    if (at == timeNever) {
        return;
    }
    m_loop.timers().unsubscribe(m_updateTimer);
    m_updateTimer = m_loop.timers().subscribeOnce(std::max(at - Loop::now(), minUpdateDelay), [this](TimePoint) {
        m_updateTimer = 0;
        update();
    });
}

void CrashGuard::update()
{
    m_tracker.update(Loop::now());
    for (const EndpointStart &start : m_tracker.takeDueChecks(Loop::now())) {
        checkEndpoint(start);
    }
    writeRows();
    logBlocks();
    scheduleUpdate(m_tracker.nextUpdateAt());
}

void CrashGuard::writeRows()
{
    const std::optional<Duration> offset = m_feed.clock().offset();
    const bool isNeeded = !m_tracker.unwrittenRows().empty() || m_tracker.hasWrongRows();
    if (m_isWriting || !isNeeded || !offset.has_value()) {
        return;
    }
    platform::StoreTransaction transaction;
    std::vector<CrashRow> rows;
    for (const std::pair<const std::string, CrashRow> &entry : m_tracker.unwrittenRows()) {
        if (rows.size() >= maxRowsPerWrite) {
            break;
        }
        rows.push_back(entry.second);
        transaction.puts.push_back({crashTable, entry.first, encodeCrashRow(entry.second, *offset)});
    }
    std::vector<std::string> removed = m_tracker.takeDroppedKeys(Loop::now());
    if (removed.size() > maxRemovalsPerWrite) {
        removed.resize(maxRemovalsPerWrite);
    }
    for (const std::string &key : removed) {
        transaction.removals.push_back({crashTable, key, 0});
    }
    m_isWriting = true;
    m_store.transact(transaction, [this, rows, removed](const platform::StoreReply &reply) {
        if (reply.failure.has_value()) {
            m_tracker.returnDroppedKeys(removed);
        }
        handleWritten(rows, reply);
    });
}

void CrashGuard::handleWritten(const std::vector<CrashRow> &rows, const platform::StoreReply &reply)
{
    m_isWriting = false;
    const bool isRejected = reply.failure == platform::StoreFailure::Refused && reply.status >= firstClientErrorStatus
        && reply.status < firstServerErrorStatus && reply.status != tooManyRequestsStatus;
    for (const CrashRow &row : rows) {
        const std::string key = crashRowKey(row);
        if (!reply.failure.has_value()) {
            m_tracker.recordWritten(row);
        } else if (isRejected) {
            m_tracker.discardUnwritten(key);
        }
        m_log.write("crashes", reply.failure.has_value() ? "evidence not written" : "evidence written",
                    {{"key", key}, {"suspects", std::to_string(row.report.suspects.size())}, {"status", std::to_string(reply.status)}});
    }
    if (!m_tracker.unwrittenRows().empty() || m_tracker.hasWrongRows()) {
        m_loop.timers().subscribeOnce(reply.failure.has_value() ? writeRetryDelay : Duration::zero(), [this](TimePoint) {
            writeRows();
        });
    }
}

void CrashGuard::logBlocks()
{
    const std::vector<SuspectId> blocked = m_tracker.blockedSuspects(Loop::now());
    const std::set<SuspectId> current(blocked.begin(), blocked.end());
    for (const SuspectId suspect : current) {
        if (m_loggedBlocks.count(suspect) > 0) {
            continue;
        }
        const CrashAttribution::Verdict verdict = check({CrashSuspect{suspect, false, 0}});
        m_log.write("crashes", "suspect blocked",
                    {{"suspect", suspectText(suspect)},
                     {"crashes", std::to_string(verdict.crashes)},
                     {"ends", std::to_string(verdict.ends)},
                     {"lastCrashAgeMs", millisecondsText(verdict.lastCrashAge)},
                     {"reporters", joined(verdict.reporters)},
                     {"untilTrialMs", millisecondsText(verdict.untilTrial)}});
    }
    for (const SuspectId suspect : m_loggedBlocks) {
        if (current.count(suspect) == 0) {
            m_log.write("crashes", "suspect released", {{"suspect", suspectText(suspect)}});
        }
    }
    m_loggedBlocks = current;
}

}
