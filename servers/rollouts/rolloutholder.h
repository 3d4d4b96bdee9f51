#pragma once

#include "servers/rollouts/rollout.h"
#include "servers/rollouts/rolloutplan.h"
#include "servers/rollouts/versionjudge.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * The state machine of one service's roll-out at the endpoint daemon that decides. It has no input or output: the caller
 * passes in the rows that it has read, reports of entry daemons and the results of writes, and carries out the writes that
 * dueWrite() names.
 */
class RolloutHolder
{
public:
    struct Identity
    {
        std::string daemon;
        std::string address;
    };

    /** A transaction that has to be carried out: put the row and the status, if both conditions hold. */
    struct Write
    {
        RolloutRow row;
        /** The version that the row must have; 0 if it must not exist. */
        std::int64_t expectedRow = 0;
        /** The version that the order's row must have. */
        std::int64_t expectedOrder = 0;
        /** Whether the status row changes too. */
        bool isStatusDue = false;
    };

    enum class WriteResult {
        Applied,
        /** Another daemon has changed one of the rows; they have to be read again. */
        Conflict,
        /** No response: it may have been applied, or may be applied later. */
        Unknown,
    };

    /** Numbers of usable endpoints, and what is known of the entry daemons beside their reports. */
    struct Fleet
    {
        int newEndpoints = 0;
        int oldEndpoints = 0;
        /** Versions other than the order's that are listed, for @c from. */
        std::vector<std::string> oldVersions;
        /** Entry daemons heard from recently, with the time of the last message, by name. */
        std::map<std::string, TimePoint> entryDaemons;
    };

    /** The holder writes the row at least this often; the page on roll-outs states it. */
    static constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
    /** Without a successful write for this long, nothing is granted; three heartbeats. */
    static constexpr Duration grantTimeout = std::chrono::milliseconds(1500);
    /** How long an entry daemon may use a permit, counted from its report; four intervals of reports. */
    static constexpr Duration permitValidity = std::chrono::milliseconds(1000);
    /** A row that has not changed for this long has no holder any more: by then all of its permits have expired. */
    static constexpr Duration takeoverDelay = grantTimeout + permitValidity;

private:
    /** One incarnation of an entry daemon. */
    struct Reporter
    {
        RolloutReport last;
        TimePoint reportedAt = timeNever;
        std::int64_t sent = 0;
        std::int64_t sentNew = 0;
        /** sentNew when this holder granted to it first. */
        std::int64_t grantBase = 0;
        /** Granted by this holder in this term. */
        std::int64_t granted = 0;
        /** Another incarnation of the same daemon has reported later. */
        bool isSuperseded = false;
        /** Part of the reported requests, by the share at their time, that has not been granted yet while the share is raised. */
        double accrued = 0;
        /** Requests a second, for the size of grants while the share is raised. */
        double rate = 0;
        TimePoint rateWindowBegan = timeNever;
        std::int64_t rateWindowSent = 0;
    };

    /** Shortest time between two writes that only raise the exposure, so that a holder causes at most ten writes a second. */
    static constexpr Duration exposureWriteInterval = std::chrono::milliseconds(100);
    /** Pause after a write that conflicted or had no response, so that a contended row is not written in a loop. */
    static constexpr Duration retryInterval = std::chrono::milliseconds(100);
    /** Time between two judgements; short against rollbackMs. */
    static constexpr Duration judgementInterval = std::chrono::milliseconds(50);
    /** Entry daemons that reported within this time call for a holder; two intervals of reports of 338 daemons (1.4 s). */
    static constexpr Duration reportMemory = std::chrono::milliseconds(3000);
    /** Time that the exposure written in advance lasts for while the share is raised: a heartbeat and the time of a write. */
    static constexpr Duration grantAdvance = std::chrono::milliseconds(600);
    /** Window that the rate of a reporter is measured over; four intervals of reports. */
    static constexpr Duration rateWindow = std::chrono::milliseconds(1000);
    /** How long other daemons leave the repair of a finished row to its holder; two heartbeats. */
    static constexpr Duration repairDelay = std::chrono::milliseconds(1000);
    /** Time in which a daemon in touch with the store learns of a new phase by its long poll, also from a slow store. */
    static constexpr Duration rowDelay = std::chrono::milliseconds(2000);
    /** Completion does not wait for daemons out of touch longer than until this time before the deadline. */
    static constexpr Duration completionMargin = std::chrono::milliseconds(1000);
    /** Past orders that are recognized after the store was restored. */
    static constexpr std::size_t maxPastOrders = 16;

    Identity m_self;
    RolloutBounds m_bounds;
    Duration m_keyRevocation;
    VersionJudge m_judge;
    VersionJudge::Judgement m_judgement;
    TimePoint m_judgedAt = timeNever;

    std::optional<RolloutOrder> m_order;
    TimePoint m_orderSeenAt = timeNever;
    /** The version that the order's row has now; another one than the order's after a restored store has lost the order. */
    std::int64_t m_orderRowVersion = 0;
    std::int64_t m_orderRowEra = 0;
    std::deque<RolloutOrder> m_pastOrders;

    /** The latest row known, also if the store has lost it. */
    std::optional<RolloutRow> m_known;
    bool m_isRowRead = false;
    bool m_needsReread = false;
    /** The row in the store is older than the known one, or missing. */
    bool m_isStoreBehind = false;
    std::int64_t m_rowVersion = 0;
    TimePoint m_rowChangedAt = timeNever;
    TimePoint m_rowReadAt = timeNever;
    /** When a restored store was noticed. */
    TimePoint m_eraChangedAt = timeNever;
    Duration m_storeOffset{};

    /** The term that this daemon claimed in this process; 0 if none. */
    std::int64_t m_claimedTerm = 0;
    bool m_isHolding = false;
    /** Decided in this term. It may have been written without a response and lost by a restored store, so it is not taken back. */
    std::optional<RolloutPhase> m_decidedFinish;
    std::string m_decidedReason;
    /** When the last successful write of this term was begun, or the row showed its claim. */
    TimePoint m_termConfirmedAt = timeNever;
    TimePoint m_phaseSince = timeNever;
    /** The exposure in the row when this term began. */
    std::int64_t m_baseExposed = 0;
    /** Highest exposure seen in any row of the order. */
    std::int64_t m_highestExposed = 0;
    TimePoint m_noGrantsUntil = timeNever;

    std::optional<RolloutRow> m_pendingRow;
    TimePoint m_pendingSince = timeNever;
    TimePoint m_lastAttemptAt = timeNever;
    /** When the last successful write was begun; timeNever if there is none that still counts. */
    TimePoint m_lastWriteAt = timeNever;
    TimePoint m_retryAt = timeNever;

    std::optional<Fleet> m_fleet;
    TimePoint m_watchingSince = timeNever;
    TimePoint m_lastReportAt = timeNever;
    std::map<std::string, Reporter> m_reporters;

    static bool isFinished(RolloutPhase phase);
    static bool isOf(const RolloutRow &row, const RolloutOrder &order);
    static bool isSameOrder(const RolloutRow &left, const RolloutRow &right);
    static bool isBehind(const RolloutRow &row, const RolloutRow &known);
    /** Whether the order's version has to be compared with others at all: not if it is in use, or the only one. */
    static bool isMove(const RolloutRow &row);

    TimePoint localTime(Duration storeTime) const;
    Duration storeTime(TimePoint time) const;
    void endTerm();
    void beginTerm(TimePoint now);
    void judge(TimePoint now);
    std::int64_t totalSent() const;
    std::int64_t totalSentNew() const;
    std::int64_t totalGranted() const;
    /** The bounds less what earlier orders for the same version have used of them. */
    RolloutBounds remainingBounds() const;
    RolloutPlan plan() const;
    RolloutPlan::Progress progress(TimePoint now) const;
    double share(TimePoint now) const;
    std::int64_t exposureTarget(TimePoint now) const;
    bool mayGrant(TimePoint now) const;
    void grant(Reporter &reporter, TimePoint now);
    bool isDeadlineOver(TimePoint now) const;
    /** Whether no entry daemon in touch has attempts at old versions or may begin some. */
    bool isDrained(TimePoint now) const;
    /** The most final phase that entry daemons act in. */
    RolloutPhase reportedPhase() const;
    RolloutRow firstRow(TimePoint now) const;
    /** Takes over what the order needs to know of the orders before it. */
    void addEarlierOrders(RolloutRow &row) const;
    std::optional<Write> nextWrite(TimePoint now) const;
    Write writeOf(const RolloutRow &row, bool isStatusDue) const;

public:
    RolloutHolder(Identity self, RolloutBounds bounds, Duration keyRevocation);

    /** The name in RolloutReport::daemon, which is NAME#INCARNATION. */
    static std::string daemonName(const std::string &nameAndIncarnation);

    /** Sets the newest order of the service. An order that is known to be older, from a restored store, does not replace a later one. */
    void setOrder(const RolloutOrder &order, TimePoint now);

    /** Sets the shared row as read, with its version; nullopt if there is none. @p storeOffset is now's clock minus the store's. */
    void setRow(const std::optional<RolloutRow> &row, std::int64_t version, Duration storeOffset, TimePoint now);

    void setFleet(const Fleet &fleet, TimePoint now);

    /** Records a report and returns the permit that answers it. */
    RolloutPermit handleReport(const RolloutReport &report, TimePoint now);

    /** The write that has to be carried out now; nullopt if there is none, or one is pending. */
    std::optional<Write> dueWrite(TimePoint now);

    /** @param version the version of the row if it was applied */
    void handleWritten(WriteResult result, std::int64_t version, TimePoint now);

    /** Whether the row has to be read before anything can be decided. After a restored store, setOrder() has to state the new era before
     * setRow(). */
    bool needsRow() const;

    /** Whether this daemon has to go on calling dueWrite() for the order. */
    bool isActive(TimePoint now) const;

    /** The order that is acted upon; nullopt if none is known. Reports about other orders must not be passed in. */
    const std::optional<RolloutOrder> &order() const;

    /** The latest known row, for logs and metrics. */
    const std::optional<RolloutRow> &row() const;

    /** The last judgement, for logs. */
    const VersionJudge::Judgement &judgement() const;
};

}
