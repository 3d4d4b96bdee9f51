#include "servers/crashattribution.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace citronspar
{

namespace
{

// A completed request speaks against a suspect's guilt somewhat more than a crash speaks for it: what crashes engines is
// hardly ever completed, while sound suspects are now and then on an engine that crashes.
constexpr std::int64_t crashWeight = 2;
constexpr std::int64_t completionWeight = 3;

constexpr Duration updatePeriod = std::chrono::milliseconds(50);
constexpr Duration expiryPeriod = std::chrono::seconds(1);

}

CrashAttribution::CrashAttribution(Settings settings)
    : m_settings(settings)
{
}

void CrashAttribution::apply(const CrashRow &row)
{
    const std::string key = crashRowKey(row);
    const auto existing = m_rows.find(key);
    if (existing != m_rows.end()) {
        const bool isOutdated = row.kind != CrashRow::Kind::Report && row.at < existing->second.at;
        if (isOutdated) {
            return;
        }
        removeRow(existing);
    }
    if (row.kind == CrashRow::Kind::Report) {
        addReport(row.report);
    } else {
        Record &record = m_records[row.suspect];
        if (row.kind == CrashRow::Kind::Clearance) {
            record.clearedAt = row.at;
        } else {
            record.lastTrialAt = row.at;
            record.trialCount = row.trialCount;
        }
    }
    const TimePoint at = row.kind == CrashRow::Kind::Report ? row.report.at : row.at;
    m_rows.emplace(key, row);
    m_suspectCount += row.report.suspects.size();
    m_keysByAge.emplace(at, key);
    m_updateAt = timeNever;
    dropSurplusRows();
}

void CrashAttribution::addReport(const CrashReport &report)
{
    for (const CrashSuspect &suspect : report.suspects) {
        Record &record = m_records[suspect.id];
        record.isWholeRequest = suspect.isWholeRequest;
        record.completions[report.reporter] = suspect.completions;
        Crash &crash = record.crashes.emplace(report.crash, Crash{report.at, suspect.sentAt}).first->second;
        crash.at = std::min(crash.at, report.at);
        crash.sentAt = std::min(crash.sentAt, suspect.sentAt);
    }
}

void CrashAttribution::removeRow(RowIterator row)
{
    const CrashRow removed = std::move(row->second);
    const bool isReport = removed.kind == CrashRow::Kind::Report;
    m_keysByAge.erase({isReport ? removed.report.at : removed.at, row->first});
    m_rows.erase(row);
    m_suspectCount -= removed.report.suspects.size();
    m_updateAt = timeNever;
    if (isReport) {
        removeReport(removed.report);
        return;
    }
    const auto found = m_records.find(removed.suspect);
    if (found != m_records.end()) {
        (removed.kind == CrashRow::Kind::Clearance ? found->second.clearedAt : found->second.lastTrialAt) = timeNever;
        removeIfEmpty(removed.suspect);
    }
}

void CrashAttribution::removeReport(const CrashReport &report)
{
    // Other reporters of the same crash may name the same suspects. The keys of their rows begin with the name of the crash.
    std::set<SuspectId> stillReported;
    const std::string prefix = crashRowKey(CrashRow{CrashRow::Kind::Report, CrashReport{report.crash, "", {}, {}}, 0, {}, 0});
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        for (const CrashSuspect &suspect : it->second.report.suspects) {
            stillReported.insert(suspect.id);
        }
    }
    for (const CrashSuspect &suspect : report.suspects) {
        if (stillReported.count(suspect.id) == 0) {
            m_records[suspect.id].crashes.erase(report.crash);
            removeIfEmpty(suspect.id);
        }
    }
}

void CrashAttribution::removeIfEmpty(SuspectId suspect)
{
    const auto found = m_records.find(suspect);
    if (found != m_records.end() && found->second.crashes.empty() && found->second.clearedAt == timeNever
        && found->second.lastTrialAt == timeNever) {
        m_records.erase(found);
    }
}

const std::map<std::string, CrashRow> &CrashAttribution::rows() const
{
    return m_rows;
}

void CrashAttribution::remove(const std::string &key)
{
    const auto found = m_rows.find(key);
    if (found != m_rows.end()) {
        removeRow(found);
    }
}

void CrashAttribution::clear()
{
    m_rows.clear();
    m_keysByAge.clear();
    m_records.clear();
    m_suspectCount = 0;
    m_updateAt = timeNever;
}

std::string CrashAttribution::leastUsefulKey() const
{
    for (const std::pair<TimePoint, std::string> &entry : m_keysByAge) {
        const CrashRow &row = m_rows.at(entry.second);
        const std::vector<CrashSuspect> &suspects = row.report.suspects;
        const bool isInUse
            = m_blocked.count(row.suspect) > 0 || std::any_of(suspects.begin(), suspects.end(), [&](const CrashSuspect &suspect) {
                  return m_blocked.count(suspect.id) > 0;
              });
        if (!isInUse) {
            return entry.second;
        }
    }
    return m_keysByAge.begin()->second;
}

void CrashAttribution::dropRow(const std::string &key)
{
    m_droppedKeys.push_back(key);
    remove(key);
}

void CrashAttribution::dropSurplusRows()
{
    while (m_rows.size() > m_settings.maxRows || m_suspectCount > m_settings.maxSuspects) {
        dropRow(leastUsefulKey());
    }
}

bool CrashAttribution::isBlockableRequest(SuspectId suspect) const
{
    const auto found = m_records.find(suspect);
    return found != m_records.end() && found->second.isWholeRequest
        && static_cast<int>(found->second.crashes.size()) >= m_settings.crashesToBlock;
}

void CrashAttribution::expireRows(TimePoint now)
{
    if (m_expiryAt != timeNever && now < m_expiryAt) {
        return;
    }
    m_expiryAt = now + expiryPeriod;
    std::vector<std::string> old;
    for (const std::pair<TimePoint, std::string> &entry : m_keysByAge) {
        if (now - entry.first <= m_settings.lifetime) {
            break;
        }
        old.push_back(entry.second);
    }
    for (const std::string &key : old) {
        expireRow(key, now);
    }
}

void CrashAttribution::expireRow(const std::string &key, TimePoint now)
{
    CrashRow row = m_rows.at(key);
    const bool isReport = row.kind == CrashRow::Kind::Report;
    std::vector<CrashSuspect> &suspects = row.report.suspects;
    const std::size_t count = suspects.size();
    suspects.erase(std::remove_if(suspects.begin(), suspects.end(),
                                  [this](const CrashSuspect &suspect) {
                                      return !isBlockableRequest(suspect.id);
                                  }),
                   suspects.end());
    const bool isNeeded = isReport ? !suspects.empty() : isBlockableRequest(row.suspect);
    if (!isNeeded || now - (isReport ? row.report.at : row.at) > m_settings.requestLifetime) {
        dropRow(key);
    } else if (suspects.size() < count) {
        apply(row);
    }
}

std::vector<std::string> CrashAttribution::takeDroppedKeys(TimePoint now)
{
    expireRows(now);
    return std::exchange(m_droppedKeys, {});
}

std::vector<TimePoint> CrashAttribution::countedCrashes(const Record &record, const std::set<std::string> &explained) const
{
    std::vector<Crash> crashes;
    for (const std::pair<const std::string, Crash> &crash : record.crashes) {
        if (crash.second.at >= record.clearedAt && explained.count(crash.first) == 0) {
            crashes.push_back(crash.second);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const Crash &a, const Crash &b) {
        return a.at < b.at;
    });
    std::vector<TimePoint> counted;
    TimePoint previousAt = timeNever;
    for (const Crash &crash : crashes) {
        const bool isInTurn = record.isWholeRequest && crash.sentAt != timeNever && crash.sentAt >= previousAt;
        if (counted.empty() || isInTurn || crash.at - counted.back() > m_settings.simultaneous) {
            counted.push_back(crash.at);
        }
        previousAt = crash.at;
    }
    return counted;
}

std::int64_t CrashAttribution::completionsOf(const Record &record)
{
    return std::accumulate(record.completions.begin(), record.completions.end(), std::int64_t(0),
                           [](std::int64_t sum, const std::pair<const std::string, std::int64_t> &stated) {
                               return sum + stated.second;
                           });
}

int CrashAttribution::settledCrashes(const Record &record, const std::set<std::string> &explained, TimePoint now) const
{
    const std::vector<TimePoint> crashes = countedCrashes(record, explained);
    if (completionsOf(record) == 0) {
        return static_cast<int>(crashes.size());
    }
    return static_cast<int>(std::count_if(crashes.begin(), crashes.end(), [&](TimePoint at) {
        return now - at >= m_settings.settleTime;
    }));
}

bool CrashAttribution::isEnough(const Record &record, int crashes, TimePoint now) const
{
    if (record.isWholeRequest && completionsOf(record) >= m_settings.completionsPerCrash * crashes) {
        return false;
    }
    return crashes >= m_settings.crashesToBlock
        || (crashes > 0 && completionsOf(record) == 0 && settledCrashes(record, {}, now) >= m_settings.sharedCrashesToBlock);
}

std::vector<SuspectId> CrashAttribution::bestExplanation(const std::set<std::string> &explained, TimePoint now) const
{
    // Ranks by the score, then whole requests before parts, as they block less.
    using Rank = std::pair<std::int64_t, bool>;
    std::vector<SuspectId> best;
    Rank bestRank{std::numeric_limits<std::int64_t>::min(), false};
    for (const std::pair<const SuspectId, Record> &entry : m_records) {
        const Record &record = entry.second;
        if (static_cast<int>(record.crashes.size()) < m_settings.crashesToBlock) {
            continue;
        }
        const int crashes = settledCrashes(record, explained, now);
        if (!isEnough(record, crashes, now)) {
            continue;
        }
        const Rank rank{crashWeight * crashes - completionWeight * completionsOf(record), record.isWholeRequest};
        if (rank > bestRank) {
            best.clear();
            bestRank = rank;
        }
        if (rank == bestRank) {
            best.push_back(entry.first);
        }
    }
    return best;
}

void CrashAttribution::update(TimePoint now)
{
    expireRows(now);
    if (m_updateAt != timeNever && now < m_updateAt) {
        return;
    }
    // Crashes become settled with time only.
    const bool isSettled = m_keysByAge.empty() || now - m_keysByAge.rbegin()->first > m_settings.settleTime;
    m_updateAt = now + (isSettled ? expiryPeriod : updatePeriod);
    m_blocked.clear();
    std::set<std::string> explained;
    for (std::vector<SuspectId> best = bestExplanation(explained, now); !best.empty(); best = bestExplanation(explained, now)) {
        for (const SuspectId suspect : best) {
            const Record &record = m_records.at(suspect);
            const std::vector<TimePoint> crashes = countedCrashes(record, {});
            Block &block = m_blocked[suspect];
            block.crashes = static_cast<int>(crashes.size());
            block.lastCrashAt = crashes.back();
            for (const std::pair<const std::string, Crash> &crash : record.crashes) {
                if (crash.second.at >= record.clearedAt) {
                    explained.insert(crash.first);
                }
            }
        }
    }
}

int CrashAttribution::trialsSinceCleared(const Record &record)
{
    return record.clearedAt > record.lastTrialAt ? 0 : record.trialCount;
}

int CrashAttribution::usedTrials(const Record &record) const
{
    const std::int64_t ends
        = std::count_if(record.crashes.begin(), record.crashes.end(), [&](const std::pair<const std::string, Crash> &crash) {
              return crash.second.at >= record.clearedAt;
          });
    return std::max(trialsSinceCleared(record), static_cast<int>(ends) - m_settings.crashesToBlock);
}

TimePoint CrashAttribution::nextTrialAt(const Record &record, const Block &block) const
{
    if (record.isWholeRequest && usedTrials(record) >= m_settings.maxRequestTrials) {
        return block.lastCrashAt + m_settings.requestLifetime;
    }
    Duration delay = m_settings.firstTrialDelay;
    for (int trial = 0; trial < trialsSinceCleared(record) && delay < m_settings.lifetime; ++trial) {
        delay *= m_settings.trialDelayFactor;
    }
    return std::max(block.lastCrashAt, record.lastTrialAt) + std::min(delay, m_settings.lifetime);
}

bool CrashAttribution::isReleasedByTrials(const Record &record, TimePoint sentAt) const
{
    Duration span{};
    Duration delay = m_settings.firstTrialDelay;
    for (int trial = 1; trial < m_settings.maxRequestTrials; ++trial) {
        delay *= m_settings.trialDelayFactor;
        span += delay;
    }
    // None of them can have crashed an endpoint if the last crash is older than the time that the trials take.
    return trialsSinceCleared(record) >= m_settings.maxRequestTrials
        && std::all_of(record.crashes.begin(), record.crashes.end(), [&](const std::pair<const std::string, Crash> &crash) {
               return crash.second.at < sentAt - span;
           });
}

CrashRow CrashAttribution::makeTrial(SuspectId suspect, TimePoint now) const
{
    const auto found = m_records.find(suspect);
    CrashRow row;
    row.kind = CrashRow::Kind::Trial;
    row.suspect = suspect;
    row.at = now;
    row.trialCount = 1 + (found == m_records.end() ? 0 : trialsSinceCleared(found->second));
    return row;
}

CrashAttribution::Verdict CrashAttribution::check(const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    update(now);
    Verdict verdict;
    if (m_blocked.empty()) {
        return verdict;
    }
    for (const CrashSuspect &suspect : suspects) {
        const auto block = m_blocked.find(suspect.id);
        if (block == m_blocked.end()) {
            continue;
        }
        const Record &record = m_records.at(suspect.id);
        verdict.untilTrial = std::max(verdict.untilTrial, nextTrialAt(record, block->second) - now);
        if (verdict.blocked.empty()) {
            verdict.crashes = block->second.crashes;
            verdict.ends = static_cast<int>(record.crashes.size());
            verdict.lastCrashAge = now - block->second.lastCrashAt;
            for (const std::pair<const std::string, std::int64_t> &stated : record.completions) {
                verdict.reporters.insert(stated.first);
            }
        }
        verdict.blocked.push_back(suspect.id);
    }
    if (!verdict.blocked.empty()) {
        verdict.decision = verdict.untilTrial > Duration::zero() ? Decision::Block : Decision::Trial;
    }
    return verdict;
}

int CrashAttribution::crashCount(SuspectId suspect) const
{
    const auto found = m_records.find(suspect);
    return found == m_records.end() ? 0 : static_cast<int>(countedCrashes(found->second, {}).size());
}

bool CrashAttribution::isClearedBy(SuspectId suspect, TimePoint sentAt, std::int64_t completions) const
{
    const auto found = m_records.find(suspect);
    if (found == m_records.end() || found->second.clearedAt >= sentAt || crashCount(suspect) + 1 < m_settings.crashesToBlock) {
        return false;
    }
    const Record &record = found->second;
    if (record.isWholeRequest && completions < m_settings.completionsPerCrash * crashCount(suspect)
        && !isReleasedByTrials(record, sentAt)) {
        return false;
    }
    return std::any_of(record.crashes.begin(), record.crashes.end(), [&](const std::pair<const std::string, Crash> &crash) {
        return crash.second.at >= record.clearedAt && crash.second.at < sentAt;
    });
}

std::vector<SuspectId> CrashAttribution::blockedSuspects(TimePoint now)
{
    update(now);
    std::vector<SuspectId> blocked;
    for (const std::pair<const SuspectId, Block> &entry : m_blocked) {
        blocked.push_back(entry.first);
    }
    return blocked;
}

}
