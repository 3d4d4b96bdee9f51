#pragma once

#include "core/hybridclock.h"

#include <cstddef>
#include <deque>
#include <string>

namespace citronspar
{

/** One event of the timeline. */
struct TimelineEvent
{
    HybridTime time;
    std::string daemon;
    /** The component of the daemon that recorded the event. */
    std::string part;
    std::string what;
    /** The id of the request or attempt, and the client account; each is empty if the event concerns none. */
    std::string request;
    std::string account;
};

/** A ring buffer of the newest events of one daemon. */
class Timeline
{
private:
    std::deque<TimelineEvent> m_events;
    std::size_t m_capacity;

public:
    explicit Timeline(std::size_t capacity);

    /** Adds an event and drops the oldest one if the capacity is reached. */
    void add(TimelineEvent event);

    /** The retained events, oldest first. */
    const std::deque<TimelineEvent> &events() const;
};

}
