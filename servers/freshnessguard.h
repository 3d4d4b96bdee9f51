#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronspar
{

/** The daemons that vouch for the newest version. While it changes, both lists count. */
struct Roster
{
    std::vector<std::string> members;
    std::vector<std::string> previousMembers;
};

/**
 * Decides whether a daemon may rely on the configuration that it holds.
 *
 * A version is accepted once a majority of the roster holds it. A daemon is
 * fresh while, within the last Settings::maxAge, it asked the table or a
 * majority of the roster and heard of nothing newer than what it has applied.
 * Two majorities share a member, so an accepted version is known to each
 * fresh daemon at the latest one maxAge after it was accepted.
 *
 * A restarted member has forgotten what it confirmed. It vouches for nothing
 * until it has learnt the newest version from the table, or from a majority
 * that does not count itself and was asked after Settings::learnDelay had
 * passed since the start. Confirmations count towards acceptance for no
 * longer than that, so a confirmation from before the restart can't complete
 * a majority after the member began to vouch again.
 */
class FreshnessGuard
{
public:
    struct Settings
    {
        Duration maxAge = std::chrono::seconds(2);
        /** How long a member's confirmation counts towards the acceptance of a version. */
        Duration confirmationAge = std::chrono::seconds(2);
        /** How long after its start a member must ask before a majority can teach it; at least confirmationAge. */
        Duration learnDelay = std::chrono::seconds(2);
    };

    using QuestionId = std::uint64_t;

private:
    struct Answer
    {
        TimePoint askedAt;
        std::int64_t version = 0;
        bool canVouch = false;
    };

    Settings m_settings;
    std::string m_self;
    TimePoint m_startedAt;
    Roster m_roster;
    std::int64_t m_version = 0;
    std::int64_t m_highestHeard = 0;
    bool m_hasLearnt = false;
    std::map<std::string, Answer> m_answers;
    std::map<QuestionId, TimePoint> m_questions;
    std::optional<TimePoint> m_tableProof;
    std::optional<TimePoint> m_relayProof;
    std::vector<std::pair<TimePoint, std::int64_t>> m_outstandingProofs;
    QuestionId m_lastQuestion = 0;

    std::optional<TimePoint> majorityProof(const std::vector<std::string> &members, bool countsSelf, TimePoint now) const;
    std::optional<TimePoint> rosterProof(bool countsSelf, TimePoint now) const;
    bool hasMajority(const std::vector<std::string> &members, std::int64_t version, TimePoint now) const;
    void learn();

public:
    FreshnessGuard(Settings settings, std::string self, TimePoint now);

    /** Starts a round of questions; its time is when the questions leave, not when answers come. */
    QuestionId ask(TimePoint now);

    /** A roster member answered. Answers to unknown questions are ignored. */
    void memberAnswered(QuestionId question, const std::string &member, std::int64_t version, bool canVouch);

    /** A daemon outside the roster passed its own proof on, which was @p proofAge old when it answered. */
    void relayAnswered(QuestionId question, std::int64_t version, Duration proofAge);

    /** The table answered with the newest committed version. */
    void tableAnswered(QuestionId question, std::int64_t version);

    /** This daemon now holds @p version. Lower versions are ignored. */
    void applied(std::int64_t version, Roster roster);

    /** The time up to which nothing newer than the applied version had been accepted. */
    std::optional<TimePoint> proofTime(TimePoint now) const;

    bool isFresh(TimePoint now) const;

    /** Whether this daemon's answers count towards a majority. */
    bool canVouch() const;

    /** Whether a majority is known to hold the applied version or a newer one. */
    bool isAccepted(TimePoint now) const;

    /** The members that have not confirmed the applied version lately. */
    std::vector<std::string> outstandingMembers(TimePoint now) const;

    /** The version that this daemon has applied; 0 for none. */
    std::int64_t version() const;

    /** The highest version it has heard of; when above version(), it has to be fetched. */
    std::int64_t highestHeard() const;
};

}
