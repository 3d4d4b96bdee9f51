#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Decides when the engine beside one endpoint daemon loads new weights. The
 * engines of a pool load in groups, one group after the other, by a timetable
 * that each daemon derives from the list of endpoints. Before its load a
 * daemon announces it, so that the entry daemons lead traffic away.
 */
class WeightsRollout
{
public:
    struct Settings
    {
        /** The pool loads in this many groups. */
        int groups = 6;
        /** From one group's load to the next one's. */
        Duration groupInterval = std::chrono::milliseconds(620);
        /** From the announcement to the load, in which requests that run can end. */
        Duration announceLead = std::chrono::milliseconds(300);
        /** An order that shows no effect for this long is repeated. */
        Duration orderPatience = std::chrono::milliseconds(1500);
    };

    /** What the daemon has to do now. */
    enum class Step {
        Nothing,
        /** Tell the entry daemons that a load is near. */
        Announce,
        /** Give the order to load wantedVersion(). */
        Order,
    };

private:
    Settings m_settings;
    std::int64_t m_wanted = 0;
    std::int64_t m_present = 0;
    bool m_isBusy = false;
    std::optional<TimePoint> m_orderAt;
    TimePoint m_orderedAt = timeNever;
    std::int64_t m_orderedVersion = 0;

public:
    explicit WeightsRollout(Settings settings);

    /**
     * The operators name @p version.
     * @param poolSize the engines of the pool that are in use
     * @param ids those of them that have older weights
     * @param own the id of the engine beside this daemon
     */
    void name(std::int64_t version, std::size_t poolSize, const std::vector<std::string> &ids, const std::string &own, TimePoint now);

    /** The engine's report: its version, and whether it carries out an order. */
    void report(std::int64_t version, bool isBusy, TimePoint now);

    /** The engine was restarted; orders given to it are void. */
    void restart();

    Step step(TimePoint now) const;

    /** The order was given. */
    void noteOrdered(TimePoint now);

    /** The order was refused; it is given again after a short pause. */
    void noteRefused(TimePoint now);

    /** Whether traffic should stay away. */
    bool isLoading(TimePoint now) const;

    std::int64_t wantedVersion() const;
};

}
