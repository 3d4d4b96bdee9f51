#pragma once

#include "servers/rollouts/rollout.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Which software versions of one service an entry daemon may send requests to. Answers the time before an order, daemons
 * with old permissions, and holders that can't be reached.
 */
class VersionAccess
{
public:
    /** How the next attempt may be placed. */
    struct Access
    {
        /** Versions that the attempt must not go to. */
        std::set<std::string> excluded;
        /** Set if the attempt must go to this version: a grant was consumed for it. */
        std::optional<std::string> required;
        /** Number of endpoints of the required version that may be used; 0 for all. */
        int canaryEndpoints = 0;
    };

private:
    /** A version that was not usable for this long has gone; if it comes back, it counts as new. As the horizon of SoftwareVersions. */
    static constexpr Duration versionMemory = std::chrono::seconds(60);
    /** Routes with attempts in this time have grants kept for them; eight intervals of reports. */
    static constexpr Duration routeMemory = std::chrono::seconds(2);
    /** A route may have this many times the grants of another one before it leaves the next to it. */
    static constexpr std::int64_t routeImbalance = 4;
    /** Past orders that are recognized after the store was restored. */
    static constexpr std::size_t maxPastOrders = 16;
    /** Running attempts whose version the caller did not state. */
    static constexpr const char *unnamedVersion = "";

    std::map<std::string, TimePoint> m_listed;
    /** Since when each version is known, and when it was last usable. */
    std::map<std::string, TimePoint> m_since;
    std::map<std::string, TimePoint> m_lastUsable;

    std::optional<RolloutOrder> m_order;
    /** The latest row of any order. */
    std::optional<RolloutRow> m_row;
    /** The store has shown an earlier phase of the current order than the one known, after it was restored. */
    bool m_isRowBehind = false;
    /** The order that is acted upon: the newest of m_order and m_row's. */
    std::optional<RolloutOrder> m_current;
    TimePoint m_currentSince = timeNever;
    RolloutPhase m_phase = RolloutPhase::Canary;
    /** Versions of orders that were reverted. They are not used, whichever order runs, until they have gone. */
    std::set<std::string> m_reverted;
    /** Versions that a completed order has replaced, until they have gone. */
    std::set<std::string> m_replaced;
    /** Versions that an order has named. */
    std::set<std::string> m_named;
    /** Earlier orders, to recognize them when a restored store presents one of them in a new era. */
    std::deque<RolloutOrder> m_pastOrders;
    /**
     * The order for which a report has stated that nothing runs at old versions. Nothing may begin there any more, since
     * completion may have been written, unless the row has become one of another order.
     */
    mutable std::optional<RolloutOrder> m_drainedOrder;

    std::optional<RolloutPermit> m_permit;
    TimePoint m_permitReportedAt = timeNever;
    /** Grants consumed by attempts that have not been sent yet. */
    std::int64_t m_pendingGrants = 0;
    /** When each route had its last attempt, to spread the grants over the routes. */
    std::map<std::string, TimePoint> m_routeSeenAt;
    VersionCountsByRoute m_counts;
    std::map<std::string, std::int64_t> m_running;

    static bool isFinished(RolloutPhase phase);
    static bool isSameOrder(const RolloutOrder &left, const RolloutOrder &right);
    static bool isNewer(const RolloutOrder &order, const RolloutOrder &than);
    static RolloutOrder orderOf(const RolloutRow &row);

    void update(TimePoint now);
    void setPhase(RolloutPhase phase, TimePoint now);
    /** Rules out versions for good after m_row's order has finished. */
    void recordFinish(TimePoint now);
    /** Rules out the versions of earlier orders whose reversion m_row states, in case no row of these was read since. */
    void recordEarlierReversions(TimePoint now);
    void ruleOutReverted(const std::string &version, TimePoint now);
    bool isRowCurrent() const;
    bool isTrying() const;
    bool isUsable(const std::string &version) const;
    /** Whether a version may not be used for reasons other than the current order. */
    bool isRuledOut(const std::string &version) const;
    /** Whether completion may have been written, so that only the order's version may be used. */
    bool isDrainedOrderPending() const;
    std::set<std::string> earliestOf(const std::set<std::string> &versions) const;
    /** The usable ones of the versions in use, without those that were released without an order later than others. */
    std::set<std::string> usableOf(const std::vector<std::string> &versions) const;
    /** The usable versions that attempts without a grant may go to. */
    std::set<std::string> allowedVersions() const;
    bool isPinnedAllowed(const std::string &version, const std::set<std::string> &allowed) const;
    Access accessTo(const std::set<std::string> &allowed) const;
    std::int64_t sentNew() const;
    std::int64_t sentNew(const std::string &route) const;
    std::int64_t freeGrants(TimePoint now) const;
    bool isGrantDue(const std::string &route, TimePoint now) const;
    Access consumeGrant();
    std::int64_t oldRunning() const;
    bool isNewVersion(const std::string &version) const;
    /** The version that the caller means who only states whether it is the order's. */
    std::string versionOf(bool isNew) const;
    void countEnded(const std::string &route, bool isNew, std::optional<Duration> time);
    void endRunning(const std::string &version);

public:
    /** Sets the usable versions of the service, with the time since when each is known to be in use. */
    void setListed(const std::map<std::string, TimePoint> &usableSince, TimePoint now);

    void setOrder(const std::optional<RolloutOrder> &order, TimePoint now);
    /** Sets the shared row; nullopt if the table has none. */
    void setRow(const std::optional<RolloutRow> &row, TimePoint now);
    /** @param reportedAt when the report that the permit answers was sent */
    void setPermit(const RolloutPermit &permit, TimePoint reportedAt, TimePoint now);

    /**
     * Decides about one attempt and consumes a grant if it is for the new version.
     * @param pinned the version that the stream has begun at; nullopt if it may begin anywhere
     * @return nullopt if no version may be used, for a pinned stream
     */
    std::optional<Access> decide(const std::string &route, const std::optional<std::string> &pinned, TimePoint now);
    /** Returns the grant of a decision whose attempt was not sent. */
    void returnGrant(TimePoint now);

    /**
     * Whether an attempt that was decided earlier may still be sent. To be called directly before it is sent, since the decision
     * may have become obsolete while the attempt waited.
     * @param isGranted whether the decision had a required version
     */
    bool maySend(const std::string &version, bool isGranted, bool isPinned, TimePoint now) const;

    /** The order that is acted upon, which reports are about; nullopt if none is known. */
    const std::optional<RolloutOrder> &order() const;

    /** Whether reports have to be sent to the holder. */
    bool isReporting(TimePoint now) const;
    /** The phase that this daemon acts in, for its report. */
    RolloutPhase phase(TimePoint now) const;

    /** Counting for the reports. @p isNew tells whether the endpoint has the order's version. */
    void recordSent(const std::string &route, bool isNew);
    /** @param time to the first event or to the response; nullopt if the attempt failed */
    void recordEnded(const std::string &route, bool isNew, std::optional<Duration> time);
    /** The attempt was rejected as not run, or its caller has left: it is no evidence. */
    void recordWithdrawn(const std::string &route, bool isNew);

    /**
     * The same by version. To be preferred, since whether an endpoint has the order's version changes with the order: attempts
     * that began before an order for the version in use would otherwise count as old until they end.
     */
    void recordSentTo(const std::string &route, const std::string &version);
    void recordEndedAt(const std::string &route, const std::string &version, std::optional<Duration> time);
    void recordWithdrawnFrom(const std::string &route, const std::string &version);

    /** The report without the daemon's name. When it states that nothing runs at old versions while closing, nothing begins there any more.
     */
    RolloutReport report(TimePoint now) const;
};

}
