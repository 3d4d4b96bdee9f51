#include "servers/crashtracker.h"

#include "core/hash.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace citronspar
{

namespace
{

// The connections of all attempts at a crashed engine are lost within this time.
constexpr Duration gatherTime = std::chrono::milliseconds(10);

// An endpoint that has crashed is listed again, or starts anew, within some seconds.
constexpr Duration lostLifetime = std::chrono::seconds(30);

// A process that crashes can take connections for some time after it has reset the ones that it had.
constexpr Duration recheckDelay = std::chrono::milliseconds(500);
constexpr Duration unreachableCheckInterval = std::chrono::seconds(2);

// Limits on the addresses and on the starts at each of them that are remembered.
constexpr std::size_t maxStartsPerAddress = 8;
constexpr std::size_t maxAddresses = 20000;

constexpr Duration minCheckInterval = std::chrono::milliseconds(250);

// Many daemons can clear the same suspect. Their rows are spread, so that the first ones make the others needless.
constexpr Duration clearanceSpread = std::chrono::milliseconds(150);

// The reporter of a crash writes its report again first. The other daemons follow if it has ended, spread so that one of them is enough.
constexpr Duration ownRewriteSpread = std::chrono::milliseconds(100);
constexpr Duration othersRewriteDelay = std::chrono::seconds(1);
constexpr Duration othersRewriteSpread = std::chrono::seconds(2);

// A copy that the table comes back from is some seconds old.
constexpr Duration removedKeyLifetime = std::chrono::minutes(1);

// The times of one row differ by this much at most between daemons, as each measures the offset of the table's clock.
constexpr Duration clockTolerance = std::chrono::milliseconds(50);

// A row of the table has 64 KiB, and callers choose the number of parts.
constexpr std::size_t maxSuspectsPerReport = 1024;

}

std::string startName(const EndpointStart &start)
{
    return start.id + "@" + std::to_string(start.startedMs);
}

CrashTracker::CrashTracker(std::string daemon, CrashAttribution::Settings settings)
    : m_daemon(std::move(daemon))
    , m_attribution(settings)
{
}

CrashAttribution::Verdict CrashTracker::check(const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    return m_attribution.check(suspects, now);
}

CrashRow CrashTracker::makeTrial(SuspectId suspect, TimePoint now) const
{
    return m_attribution.makeTrial(suspect, now);
}

void CrashTracker::recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now)
{
    m_history.recordCompleted(suspects, sentAt, now);
    for (const CrashSuspect &suspect : suspects) {
        scheduleClearance(suspect.id, now);
    }
}

void CrashTracker::scheduleClearance(SuspectId suspect, TimePoint now)
{
    if (!m_attribution.isClearedBy(suspect, m_history.lastSentAt(suspect), m_history.completions(suspect))) {
        return;
    }
    const std::uint64_t hash = hashCombine(hashBytes(m_daemon, suspect), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    m_clearances.emplace(suspect, now + Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(clearanceSpread.count()))));
}

void CrashTracker::removeOldLosses(TimePoint now)
{
    for (auto it = m_lost.begin(); it != m_lost.end();) {
        it = now - it->second.at > lostLifetime ? m_lost.erase(it) : std::next(it);
    }
}

bool CrashTracker::recordLost(const EndpointStart &start, const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    const bool isCheckDue = recordUnanswered(start, suspects, now);
    m_lost.at(startName(start)).isTimeout = false;
    return isCheckDue;
}

bool CrashTracker::recordUnanswered(const EndpointStart &start, const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    removeOldLosses(now);
    const std::pair<std::map<std::string, LostAttempts>::iterator, bool> inserted = m_lost.emplace(startName(start), LostAttempts());
    LostAttempts &lost = inserted.first->second;
    if (inserted.second) {
        lost.start = start;
        lost.at = now;
    }
    addSuspects(lost, suspects);
    if (lost.hasEnded || lost.isUnreachable) {
        scheduleReport(lost, now);
    }
    if (lost.hasEnded || (lost.checkedAt != timeNever && now - lost.checkedAt < minCheckInterval)) {
        return false;
    }
    lost.checkedAt = now;
    return true;
}

void CrashTracker::addSuspects(LostAttempts &lost, const std::vector<CrashSuspect> &suspects)
{
    for (const CrashSuspect &suspect : suspects) {
        if (lost.suspects.size() >= maxSuspectsPerReport) {
            return;
        }
        const auto known = std::find_if(lost.suspects.begin(), lost.suspects.end(), [&](const CrashSuspect &other) {
            return other.id == suspect.id;
        });
        if (known == lost.suspects.end()) {
            lost.suspects.push_back(suspect);
        } else {
            known->sentAt = std::min(known->sentAt, suspect.sentAt);
        }
    }
}

void CrashTracker::scheduleReport(LostAttempts &lost, TimePoint now)
{
    if (lost.reportDueAt == timeNever) {
        lost.reportDueAt = now + gatherTime;
    }
}

void CrashTracker::handleEnded(LostAttempts &lost, TimePoint now)
{
    lost.hasEnded = true;
    lost.recheckAt = timeNever;
    scheduleReport(lost, now);
}

void CrashTracker::recordEnded(const EndpointStart &start, TimePoint now)
{
    const auto found = m_lost.find(startName(start));
    if (found != m_lost.end() && !found->second.hasEnded) {
        handleEnded(found->second, now);
    }
}

void CrashTracker::recordReachability(const EndpointStart &start, EndpointReachability reachability, TimePoint now)
{
    const auto found = m_lost.find(startName(start));
    if (found == m_lost.end() || found->second.hasEnded) {
        return;
    }
    LostAttempts &lost = found->second;
    if (reachability == EndpointReachability::Refuses) {
        recordEnded(start, now);
        return;
    }
    if (now - lost.at < recheckDelay) {
        lost.recheckAt = now + recheckDelay;
    }
    const bool wasUnreachable = lost.isUnreachable;
    lost.isUnreachable = reachability == EndpointReachability::NoAnswer && !lost.isTimeout;
    if (lost.isUnreachable) {
        lost.recheckAt = now + unreachableCheckInterval;
    }
    if (lost.isUnreachable && !wasUnreachable) {
        scheduleReport(lost, now);
    } else if (wasUnreachable && !lost.isUnreachable) {
        retractReport(found->first);
    }
}

void CrashTracker::retractReport(const std::string &crash)
{
    CrashRow row;
    row.report.crash = crash;
    row.report.reporter = m_daemon;
    const std::string key = crashRowKey(row);
    m_attribution.remove(key);
    m_unwritten.erase(key);
    m_obsoleteKeys.push_back(key);
}

std::vector<EndpointStart> CrashTracker::takeDueChecks(TimePoint now)
{
    std::vector<EndpointStart> due;
    for (std::pair<const std::string, LostAttempts> &entry : m_lost) {
        LostAttempts &lost = entry.second;
        if (lost.recheckAt != timeNever && lost.recheckAt <= now) {
            lost.recheckAt = timeNever;
            lost.checkedAt = now;
            due.push_back(lost.start);
        }
    }
    return due;
}

bool CrashTracker::recordStarted(const EndpointStart &start, TimePoint now)
{
    const std::string name = startName(start);
    if (m_startsAtAddress.size() > maxAddresses) {
        m_startsAtAddress.erase(m_startsAtAddress.begin());
    }
    std::vector<std::string> &known = m_startsAtAddress[start.address];
    if (std::find(known.begin(), known.end(), name) != known.end()) {
        return false;
    }
    known.push_back(name);
    if (known.size() > maxStartsPerAddress) {
        known.erase(known.begin());
    }
    for (std::pair<const std::string, LostAttempts> &entry : m_lost) {
        LostAttempts &lost = entry.second;
        const bool isTimeKnown = lost.start.startedMs != 0 && start.startedMs != 0;
        // Without the times, a start that is listed for the first time after the attempt was sent is the later one.
        const bool isLater = isTimeKnown ? lost.start.startedMs < start.startedMs : !start.id.empty() && lost.start.id != start.id;
        if (!lost.hasEnded && lost.start.address == start.address && isLater) {
            handleEnded(lost, now);
        }
    }
    return true;
}

void CrashTracker::update(TimePoint now)
{
    rewriteRows(now);
    reportCrashes(now);
    writeClearances(now);
}

TimePoint CrashTracker::nextUpdateAt() const
{
    TimePoint next = TimePoint::max();
    for (const std::pair<const std::string, LostAttempts> &entry : m_lost) {
        for (const TimePoint due : {entry.second.reportDueAt, entry.second.recheckAt}) {
            next = due == timeNever ? next : std::min(next, due);
        }
    }
    for (const std::pair<const SuspectId, TimePoint> &clearance : m_clearances) {
        next = std::min(next, clearance.second);
    }
    for (const std::pair<const std::string, TimePoint> &rewrite : m_rewrites) {
        next = std::min(next, rewrite.second);
    }
    return next == TimePoint::max() ? timeNever : next;
}

void CrashTracker::reportCrashes(TimePoint now)
{
    for (std::pair<const std::string, LostAttempts> &entry : m_lost) {
        LostAttempts &lost = entry.second;
        if (lost.reportDueAt == timeNever || lost.reportDueAt > now) {
            continue;
        }
        lost.reportDueAt = timeNever;
        CrashRow row;
        row.report = CrashReport{entry.first, m_daemon, lost.at, {}};
        std::copy_if(lost.suspects.begin(), lost.suspects.end(), std::back_inserter(row.report.suspects), [&](const CrashSuspect &suspect) {
            return lost.hasEnded || suspect.isWholeRequest;
        });
        for (CrashSuspect &suspect : row.report.suspects) {
            suspect.completions = m_history.completions(suspect.id);
        }
        addRow(row);
        for (const CrashSuspect &suspect : row.report.suspects) {
            scheduleClearance(suspect.id, now);
        }
    }
}

void CrashTracker::writeClearances(TimePoint now)
{
    for (auto it = m_clearances.begin(); it != m_clearances.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const SuspectId suspect = it->first;
        it = m_clearances.erase(it);
        const TimePoint sentAt = m_history.lastSentAt(suspect);
        if (m_attribution.isClearedBy(suspect, sentAt, m_history.completions(suspect))) {
            CrashRow row;
            row.kind = CrashRow::Kind::Clearance;
            row.suspect = suspect;
            row.at = sentAt;
            addRow(row);
        }
    }
}

void CrashTracker::addRow(const CrashRow &row)
{
    m_unwritten[crashRowKey(row)] = row;
    m_attribution.apply(row);
}

const std::map<std::string, CrashRow> &CrashTracker::unwrittenRows() const
{
    return m_unwritten;
}

void CrashTracker::recordWritten(const CrashRow &row)
{
    const auto found = m_unwritten.find(crashRowKey(row));
    const bool isSame
        = found != m_unwritten.end() && found->second.at == row.at && found->second.report.suspects.size() == row.report.suspects.size();
    if (isSame) {
        m_unwritten.erase(found);
    }
}

void CrashTracker::discardUnwritten(const std::string &key)
{
    m_unwritten.erase(key);
}

void CrashTracker::applyRow(const CrashRow &row, TimePoint now)
{
    if (m_unwritten.count(crashRowKey(row)) > 0) {
        return;
    }
    m_rewrites.erase(crashRowKey(row));
    m_removedKeys.erase(crashRowKey(row));
    m_attribution.apply(row);
    for (const CrashSuspect &suspect : row.report.suspects) {
        scheduleClearance(suspect.id, now);
    }
}

void CrashTracker::removeRow(const std::string &key, TimePoint now)
{
    if (m_unwritten.count(key) == 0) {
        m_rewrites.erase(key);
        m_removedKeys[key] = now;
        m_attribution.remove(key);
    }
}

void CrashTracker::scheduleRewrite(const CrashRow &row, TimePoint now)
{
    const std::string key = crashRowKey(row);
    const bool isOwn = row.kind == CrashRow::Kind::Report && row.report.reporter == m_daemon;
    const Duration spread = isOwn ? ownRewriteSpread : othersRewriteSpread;
    const std::uint64_t hash = hashBytes(key, hashBytes(m_daemon, 0));
    const Duration delay = (isOwn ? Duration::zero() : othersRewriteDelay)
        + Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spread.count())));
    m_rewrites[key] = now + delay;
}

void CrashTracker::rewriteRows(TimePoint now)
{
    for (auto it = m_rewrites.begin(); it != m_rewrites.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const auto row = m_attribution.rows().find(it->first);
        if (row != m_attribution.rows().end()) {
            m_unwritten.emplace(row->first, row->second);
        }
        it = m_rewrites.erase(it);
    }
}

void CrashTracker::mergeOlderRows(const std::vector<CrashRow> &rows, TimePoint now)
{
    for (auto it = m_removedKeys.begin(); it != m_removedKeys.end();) {
        it = now - it->second > removedKeyLifetime ? m_removedKeys.erase(it) : std::next(it);
    }
    std::set<std::string> current;
    for (const CrashRow &row : rows) {
        const std::string key = crashRowKey(row);
        if (m_removedKeys.count(key) > 0) {
            m_obsoleteKeys.push_back(key);
            continue;
        }
        const auto known = m_attribution.rows().find(key);
        const bool isOlder = known != m_attribution.rows().end()
            && (row.at + clockTolerance < known->second.at || row.report.suspects.size() < known->second.report.suspects.size());
        if (isOlder) {
            continue;
        }
        current.insert(key);
        if (known == m_attribution.rows().end()) {
            applyRow(row, now);
        }
    }
    for (const std::pair<const std::string, CrashRow> &row : m_attribution.rows()) {
        if (current.count(row.first) == 0 && m_unwritten.count(row.first) == 0) {
            scheduleRewrite(row.second, now);
        }
    }
}

void CrashTracker::replaceRows(const std::vector<CrashRow> &rows, TimePoint now)
{
    m_attribution.clear();
    for (const std::pair<const std::string, CrashRow> &unwritten : m_unwritten) {
        m_attribution.apply(unwritten.second);
    }
    for (const CrashRow &row : rows) {
        applyRow(row, now);
    }
}

std::vector<std::string> CrashTracker::takeDroppedKeys(TimePoint now)
{
    std::vector<std::string> keys = m_attribution.takeDroppedKeys(now);
    keys.insert(keys.end(), m_obsoleteKeys.begin(), m_obsoleteKeys.end());
    m_obsoleteKeys.clear();
    return keys;
}

bool CrashTracker::hasWrongRows() const
{
    return !m_obsoleteKeys.empty();
}

void CrashTracker::returnDroppedKeys(const std::vector<std::string> &keys)
{
    m_obsoleteKeys.insert(m_obsoleteKeys.end(), keys.begin(), keys.end());
}

std::vector<SuspectId> CrashTracker::blockedSuspects(TimePoint now)
{
    return m_attribution.blockedSuspects(now);
}

}
