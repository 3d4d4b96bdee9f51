#pragma once

#include "core/hybridclock.h"

#include <cstddef>
#include <deque>
#include <string>

namespace citronspar
{

/** One entry of the time line of events. */
struct TimelineEvent
{
    HybridTime time;
    std::string daemon;
    std::string part;
    std::string what;
    std::string request;
    std::string account;
};

/** Keeps the newest events of one daemon, up to a fixed number. */
class Timeline
{
private:
    std::deque<TimelineEvent> m_events;
    std::size_t m_capacity;

public:
    explicit Timeline(std::size_t capacity);

    /** Adds an event and drops the oldest one when the ring is full. */
    void add(TimelineEvent event);

    /** All events that are kept, oldest first. */
    const std::deque<TimelineEvent> &events() const;
};

}
