#pragma once

#include <chrono>
#include <cstdint>

namespace citronspar
{

/** A wall-clock time with a counter that orders events of equal time. */
struct HybridTime
{
    std::chrono::microseconds wall{};
    std::int64_t counter = 0;

    bool operator<(const HybridTime &other) const
    {
        return wall != other.wall ? wall < other.wall : counter < other.counter;
    }
};

/**
 * A hybrid logical clock: its stamps follow the wall clock, and a message's
 * receipt always has a later stamp than its sending, also when the wall
 * clocks of two VMs disagree.
 */
class HybridClock
{
private:
    HybridTime m_last;

public:
    /** A stamp for a local event or a message that is sent. */
    HybridTime tick(std::chrono::microseconds wallNow);

    /** Takes in the stamp of a received message. */
    void observe(HybridTime remote);
};

}
