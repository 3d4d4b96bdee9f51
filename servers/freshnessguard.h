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

/** The daemons that confirm configuration versions. While the membership changes, a majority of each list is needed. */
struct Roster
{
    std::vector<std::string> members;
    std::vector<std::string> previousMembers;
};

/**
 * Decides whether a daemon may rely on the configuration that it has applied.
 *
 * A version is accepted once a majority of the roster has confirmed it. A daemon
 * is fresh if, within the last Settings::maxAge, it queried the table or a
 * majority of the roster and none of them had a version newer than the applied
 * one. Two majorities have a member in common, so every fresh daemon has an
 * accepted version at the latest maxAge after its acceptance.
 *
 * A restarted member has lost the record of its confirmations. It confirms no
 * version until it has applied the newest version known to the table, or to a
 * majority that excludes the member itself and was queried at least
 * Settings::restartDelay after the start. Confirmations count towards
 * acceptance for no longer than that delay, so a confirmation from before the
 * restart can't complete a majority after the member confirms again.
 */
class FreshnessGuard
{
public:
    struct Settings
    {
        /** A daemon is fresh while its latest proof is at most this old. */
        Duration maxAge = std::chrono::seconds(2);
        /** The maximum age at which a member's confirmation counts towards the acceptance of a version. */
        Duration maxConfirmationAge = std::chrono::seconds(2);
        /** The minimum time from a member's start to the queries by which a majority allows it to confirm; at least maxConfirmationAge. */
        Duration restartDelay = std::chrono::seconds(2);
    };

    using QueryId = std::uint64_t;

private:
    struct Answer
    {
        TimePoint askedAt;
        std::int64_t version = 0;
        bool canConfirm = false;
    };

    Settings m_settings;
    std::string m_self;
    TimePoint m_startedAt;
    Roster m_roster;
    std::int64_t m_appliedVersion = 0;
    std::int64_t m_highestKnownVersion = 0;
    bool m_canConfirm = false;
    std::map<std::string, Answer> m_answers;
    std::map<QueryId, TimePoint> m_queryTimes;
    std::optional<TimePoint> m_tableProof;
    std::optional<TimePoint> m_relayProof;
    std::vector<std::pair<TimePoint, std::int64_t>> m_pendingTableAnswers;
    QueryId m_lastQueryId = 0;

    std::optional<TimePoint> majorityProof(const std::vector<std::string> &members, bool includeSelf, TimePoint now) const;
    std::optional<TimePoint> rosterProof(bool includeSelf, TimePoint now) const;
    bool hasMajority(const std::vector<std::string> &members, std::int64_t version, TimePoint now) const;
    void updateCanConfirm();

public:
    FreshnessGuard(Settings settings, std::string self, TimePoint now);

    /** Registers a query that is sent at @p now. Proofs count from this time, not from the receipt of the answers. */
    QueryId registerQuery(TimePoint now);

    /** Handles the answer of a roster member. Answers to unknown queries are ignored. */
    void handleMemberAnswer(QueryId query, const std::string &member, std::int64_t version, bool canConfirm);

    /** Handles the answer of a daemon that relays its own proof, which was @p proofAge old when it answered. */
    void handleRelayAnswer(QueryId query, std::int64_t version, Duration proofAge);

    /** Handles the table's answer; @p version is the newest committed version. */
    void handleTableAnswer(QueryId query, std::int64_t version);

    /** Sets the applied version and its roster. Lower versions are ignored. */
    void setAppliedVersion(std::int64_t version, Roster roster);

    /** The latest time at which provably no version newer than the applied one had been accepted; nullopt if there is no proof. */
    std::optional<TimePoint> proofTime(TimePoint now) const;

    bool isFresh(TimePoint now) const;

    /** Whether this daemon's answers count towards a majority. */
    bool canConfirm() const;

    /** Whether a majority has confirmed the applied version or a newer one. */
    bool isAccepted(TimePoint now) const;

    /** The members without a confirmation of the applied version that still counts. */
    std::vector<std::string> unconfirmedMembers(TimePoint now) const;

    /** The version that this daemon has applied, or 0 if none. */
    std::int64_t appliedVersion() const;

    /** The highest version in any answer; if it is above the applied version, that version has to be fetched. */
    std::int64_t highestKnownVersion() const;
};

}
