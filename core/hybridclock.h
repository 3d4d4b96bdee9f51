#pragma once

#include <chrono>
#include <cstdint>

namespace citronspar
{

/** A timestamp of a hybrid logical clock: a wall-clock time and a counter that orders events with the same time. */
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
 * A hybrid logical clock: its timestamps follow the wall clock, and the receipt
 * of a message always has a later timestamp than its sending, even if the wall
 * clocks of the two VMs differ.
 */
class HybridClock
{
private:
    HybridTime m_last;

public:
    /** Advances the clock and returns the timestamp of a local event or a sent message. */
    HybridTime tick(std::chrono::microseconds wallNow);

    /** Advances the clock to the timestamp of a received message, if that is later. */
    void observe(HybridTime remote);
};

}
