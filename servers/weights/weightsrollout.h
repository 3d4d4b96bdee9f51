#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Schedules the loading of new weights on the engine of one endpoint daemon. The
 * engines of a pool load in groups, one group after the other, by a schedule
 * that each daemon derives from the list of endpoints. A daemon announces the
 * load in advance, so that the entry daemons route traffic to other engines.
 */
class WeightsRollout
{
public:
    struct Settings
    {
        /** The number of groups that a pool is divided into. */
        int groups = 6;
        /** The time between the starts of two consecutive groups. */
        Duration groupInterval = std::chrono::milliseconds(620);
        /** The time from the announcement to the load, in which running requests can complete. */
        Duration announceLead = std::chrono::milliseconds(300);
        /** A load order without effect for this long is repeated. */
        Duration orderTimeout = std::chrono::milliseconds(1500);
    };

    /** An engine of the pool with older weights. */
    struct OutdatedEngine
    {
        std::string id;
        std::int64_t version = 0;
    };

    /** The action that the daemon has to take now. */
    enum class Step {
        Nothing,
        /** Announce to the entry daemons that a load is about to start. */
        Announce,
        /** Order the engine to load wantedVersion(). */
        Order,
    };

private:
    Settings m_settings;
    std::int64_t m_wantedVersion = 0;
    std::int64_t m_currentVersion = 0;
    bool m_isBusy = false;
    std::optional<TimePoint> m_orderAt;
    TimePoint m_orderedAt = timeNever;
    std::int64_t m_orderedVersion = 0;
    /** Whether the last order got no response. It is not known then when the load starts, so traffic goes on until it does. */
    bool m_isUnanswered = false;

public:
    explicit WeightsRollout(Settings settings);

    /**
     * Schedules the load of @p version, set by the operators. Ignored if it is not newer than the wanted version. Engines that
     * are behind by more versions load first, and a load that is scheduled already is not postponed.
     * @param poolSize the number of engines of the pool that are in use
     * @param outdated the engines in use that have older weights
     * @param own the id of this daemon's engine
     */
    void setWantedVersion(std::int64_t version, std::size_t poolSize, std::vector<OutdatedEngine> outdated, const std::string &own,
                          TimePoint now);

    /** Processes a report of the engine: its weights version, and whether it is executing an order. */
    void recordReport(std::int64_t version, bool isBusy, TimePoint now);

    /** Records a restart of the engine, which cancels the orders given to it. */
    void recordRestart();

    /** Returns the action that is due. */
    Step nextStep(TimePoint now) const;

    /** Records that the order is being sent. */
    void recordOrdered(TimePoint now);

    /** Records that the order was refused; it is repeated after a short delay. */
    void recordRefused(TimePoint now);

    /** Records that the order got no response: it may be executed at any time, and is repeated after a short delay. */
    void recordUnanswered(TimePoint now);

    /** Whether traffic should be routed to other engines: a load is announced, ordered or running. */
    bool isLoading(TimePoint now) const;

    std::int64_t wantedVersion() const;
};

}
