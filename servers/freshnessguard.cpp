#include "servers/freshnessguard.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronspar
{

namespace
{

constexpr std::size_t maxPendingQueries = 64;

std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

std::optional<TimePoint> latest(std::optional<TimePoint> first, std::optional<TimePoint> second)
{
    if (!first.has_value() || !second.has_value()) {
        return first.has_value() ? first : second;
    }
    return std::max(*first, *second);
}

}

FreshnessGuard::FreshnessGuard(Settings settings, std::string self, TimePoint now)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_startedAt(now)
{
}

FreshnessGuard::QueryId FreshnessGuard::registerQuery(TimePoint now)
{
    const QueryId id = ++m_lastQueryId;
    m_queryTimes[id] = now;
    if (m_queryTimes.size() > maxPendingQueries) {
        m_queryTimes.erase(m_queryTimes.begin());
    }
    return id;
}

void FreshnessGuard::handleMemberAnswer(QueryId query, const std::string &member, std::int64_t version, bool canConfirm)
{
    const auto queryTime = m_queryTimes.find(query);
    if (queryTime == m_queryTimes.end()) {
        return;
    }
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
    Answer &answer = m_answers[member];
    if (answer.askedAt <= queryTime->second) {
        answer = Answer{queryTime->second, version, canConfirm};
    }
    updateCanConfirm();
}

void FreshnessGuard::handleRelayAnswer(QueryId query, std::int64_t version, Duration proofAge)
{
    const auto queryTime = m_queryTimes.find(query);
    if (queryTime == m_queryTimes.end()) {
        return;
    }
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
    if (version <= m_appliedVersion) {
        m_relayProof = latest(m_relayProof, queryTime->second - proofAge);
    }
}

void FreshnessGuard::handleTableAnswer(QueryId query, std::int64_t version)
{
    const auto queryTime = m_queryTimes.find(query);
    if (queryTime == m_queryTimes.end()) {
        return;
    }
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
    if (version > m_appliedVersion) {
        m_pendingTableAnswers.emplace_back(queryTime->second, version);
        return;
    }
    m_tableProof = latest(m_tableProof, queryTime->second);
    m_canConfirm = true;
}

void FreshnessGuard::setAppliedVersion(std::int64_t version, Roster roster)
{
    if (version <= m_appliedVersion) {
        return;
    }
    m_appliedVersion = version;
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
    m_roster = std::move(roster);
    for (const std::pair<TimePoint, std::int64_t> &answer : m_pendingTableAnswers) {
        if (answer.second <= m_appliedVersion) {
            m_tableProof = latest(m_tableProof, answer.first);
            m_canConfirm = true;
        }
    }
    m_pendingTableAnswers.clear();
    updateCanConfirm();
}

void FreshnessGuard::updateCanConfirm()
{
    if (m_canConfirm || m_appliedVersion == 0) {
        return;
    }
    const std::optional<TimePoint> proof = rosterProof(false, m_startedAt);
    m_canConfirm = proof.has_value() && *proof >= m_startedAt + m_settings.restartDelay;
}

std::optional<TimePoint> FreshnessGuard::majorityProof(const std::vector<std::string> &members, bool includeSelf, TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const std::string &member : members) {
        if (member == m_self) {
            if (includeSelf && canConfirm()) {
                times.push_back(now);
            }
            continue;
        }
        const auto answer = m_answers.find(member);
        if (answer != m_answers.end() && answer->second.canConfirm && answer->second.version <= m_appliedVersion) {
            times.push_back(answer->second.askedAt);
        }
    }
    const std::size_t needed = majorityOf(members.size());
    if (times.size() < needed) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<TimePoint>());
    return times[needed - 1];
}

std::optional<TimePoint> FreshnessGuard::rosterProof(bool includeSelf, TimePoint now) const
{
    if (m_roster.members.empty()) {
        return std::nullopt;
    }
    const std::optional<TimePoint> current = majorityProof(m_roster.members, includeSelf, now);
    if (m_roster.previousMembers.empty() || !current.has_value()) {
        return current;
    }
    const std::optional<TimePoint> previous = majorityProof(m_roster.previousMembers, includeSelf, now);
    if (!previous.has_value()) {
        return std::nullopt;
    }
    return std::min(*current, *previous);
}

std::optional<TimePoint> FreshnessGuard::proofTime(TimePoint now) const
{
    if (m_appliedVersion == 0) {
        return std::nullopt;
    }
    return latest(latest(m_tableProof, m_relayProof), rosterProof(true, now));
}

bool FreshnessGuard::isFresh(TimePoint now) const
{
    const std::optional<TimePoint> proof = proofTime(now);
    return proof.has_value() && now - *proof <= m_settings.maxAge;
}

bool FreshnessGuard::canConfirm() const
{
    return m_canConfirm;
}

bool FreshnessGuard::hasMajority(const std::vector<std::string> &members, std::int64_t version, TimePoint now) const
{
    std::size_t count = 0;
    for (const std::string &member : members) {
        const auto answer = m_answers.find(member);
        const bool selfConfirms = member == m_self && canConfirm() && m_appliedVersion >= version;
        const bool memberConfirms = answer != m_answers.end() && answer->second.canConfirm && answer->second.version >= version
            && now - answer->second.askedAt <= m_settings.maxConfirmationAge;
        count += selfConfirms || memberConfirms ? 1 : 0;
    }
    return count >= majorityOf(members.size());
}

bool FreshnessGuard::isAccepted(TimePoint now) const
{
    if (m_appliedVersion == 0 || !hasMajority(m_roster.members, m_appliedVersion, now)) {
        return false;
    }
    return m_roster.previousMembers.empty() || hasMajority(m_roster.previousMembers, m_appliedVersion, now);
}

std::vector<std::string> FreshnessGuard::unconfirmedMembers(TimePoint now) const
{
    std::vector<std::string> unconfirmed;
    std::set<std::string> all(m_roster.members.begin(), m_roster.members.end());
    all.insert(m_roster.previousMembers.begin(), m_roster.previousMembers.end());
    for (const std::string &member : all) {
        if (member != m_self && !hasMajority({member}, m_appliedVersion, now)) {
            unconfirmed.push_back(member);
        }
    }
    return unconfirmed;
}

std::int64_t FreshnessGuard::appliedVersion() const
{
    return m_appliedVersion;
}

std::int64_t FreshnessGuard::highestKnownVersion() const
{
    return m_highestKnownVersion;
}

}
