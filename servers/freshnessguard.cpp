#include "servers/freshnessguard.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronspar
{

namespace
{

constexpr std::size_t maxOutstandingQuestions = 64;

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

FreshnessGuard::QuestionId FreshnessGuard::ask(TimePoint now)
{
    const QuestionId id = ++m_lastQuestion;
    m_questions[id] = now;
    if (m_questions.size() > maxOutstandingQuestions) {
        m_questions.erase(m_questions.begin());
    }
    return id;
}

void FreshnessGuard::memberAnswered(QuestionId question, const std::string &member, std::int64_t version, bool canVouch)
{
    const auto asked = m_questions.find(question);
    if (asked == m_questions.end()) {
        return;
    }
    m_highestHeard = std::max(m_highestHeard, version);
    Answer &answer = m_answers[member];
    if (answer.askedAt <= asked->second) {
        answer = Answer{asked->second, version, canVouch};
    }
    learn();
}

void FreshnessGuard::relayAnswered(QuestionId question, std::int64_t version, Duration proofAge)
{
    const auto asked = m_questions.find(question);
    if (asked == m_questions.end()) {
        return;
    }
    m_highestHeard = std::max(m_highestHeard, version);
    if (version <= m_version) {
        m_relayProof = latest(m_relayProof, asked->second - proofAge);
    }
}

void FreshnessGuard::tableAnswered(QuestionId question, std::int64_t version)
{
    const auto asked = m_questions.find(question);
    if (asked == m_questions.end()) {
        return;
    }
    m_highestHeard = std::max(m_highestHeard, version);
    if (version > m_version) {
        m_outstandingProofs.emplace_back(asked->second, version);
        return;
    }
    m_tableProof = latest(m_tableProof, asked->second);
    m_hasLearnt = true;
}

void FreshnessGuard::applied(std::int64_t version, Roster roster)
{
    if (version <= m_version) {
        return;
    }
    m_version = version;
    m_highestHeard = std::max(m_highestHeard, version);
    m_roster = std::move(roster);
    for (const std::pair<TimePoint, std::int64_t> &proof : m_outstandingProofs) {
        if (proof.second <= m_version) {
            m_tableProof = latest(m_tableProof, proof.first);
            m_hasLearnt = true;
        }
    }
    m_outstandingProofs.clear();
    learn();
}

void FreshnessGuard::learn()
{
    if (m_hasLearnt || m_version == 0) {
        return;
    }
    const std::optional<TimePoint> proof = rosterProof(false, m_startedAt);
    m_hasLearnt = proof.has_value() && *proof >= m_startedAt + m_settings.learnDelay;
}

std::optional<TimePoint> FreshnessGuard::majorityProof(const std::vector<std::string> &members, bool countsSelf, TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const std::string &member : members) {
        if (member == m_self) {
            if (countsSelf && canVouch()) {
                times.push_back(now);
            }
            continue;
        }
        const auto answer = m_answers.find(member);
        if (answer != m_answers.end() && answer->second.canVouch && answer->second.version <= m_version) {
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

std::optional<TimePoint> FreshnessGuard::rosterProof(bool countsSelf, TimePoint now) const
{
    if (m_roster.members.empty()) {
        return std::nullopt;
    }
    const std::optional<TimePoint> current = majorityProof(m_roster.members, countsSelf, now);
    if (m_roster.previousMembers.empty() || !current.has_value()) {
        return current;
    }
    const std::optional<TimePoint> previous = majorityProof(m_roster.previousMembers, countsSelf, now);
    if (!previous.has_value()) {
        return std::nullopt;
    }
    return std::min(*current, *previous);
}

std::optional<TimePoint> FreshnessGuard::proofTime(TimePoint now) const
{
    if (m_version == 0) {
        return std::nullopt;
    }
    return latest(latest(m_tableProof, m_relayProof), rosterProof(true, now));
}

bool FreshnessGuard::isFresh(TimePoint now) const
{
    const std::optional<TimePoint> proof = proofTime(now);
    return proof.has_value() && now - *proof <= m_settings.maxAge;
}

bool FreshnessGuard::canVouch() const
{
    return m_hasLearnt;
}

bool FreshnessGuard::hasMajority(const std::vector<std::string> &members, std::int64_t version, TimePoint now) const
{
    std::size_t count = 0;
    for (const std::string &member : members) {
        const auto answer = m_answers.find(member);
        const bool isSelf = member == m_self && canVouch() && m_version >= version;
        const bool hasConfirmed = answer != m_answers.end() && answer->second.canVouch && answer->second.version >= version
            && now - answer->second.askedAt <= m_settings.confirmationAge;
        count += isSelf || hasConfirmed ? 1 : 0;
    }
    return count >= majorityOf(members.size());
}

bool FreshnessGuard::isAccepted(TimePoint now) const
{
    if (m_version == 0 || !hasMajority(m_roster.members, m_version, now)) {
        return false;
    }
    return m_roster.previousMembers.empty() || hasMajority(m_roster.previousMembers, m_version, now);
}

std::vector<std::string> FreshnessGuard::outstandingMembers(TimePoint now) const
{
    std::vector<std::string> outstanding;
    std::set<std::string> all(m_roster.members.begin(), m_roster.members.end());
    all.insert(m_roster.previousMembers.begin(), m_roster.previousMembers.end());
    for (const std::string &member : all) {
        if (member != m_self && !hasMajority({member}, m_version, now)) {
            outstanding.push_back(member);
        }
    }
    return outstanding;
}

std::int64_t FreshnessGuard::version() const
{
    return m_version;
}

std::int64_t FreshnessGuard::highestHeard() const
{
    return m_highestHeard;
}

}
