#pragma once

#include "core/time.h"

#include <cstddef>

namespace citronspar
{

/**
 * What a daemon does in which second of its graceful shutdown. The balancer
 * needs some seconds to notice, so requests are still served at first; later
 * ones could be cut by the end of the process and are turned away.
 */
class ShutdownPlan
{
public:
    struct Settings
    {
        /** From the signal until the process is killed. */
        Duration grace = std::chrono::seconds(8);
        /** The balancer misses two questions, one a second; connections on their way come a little later. */
        Duration noticeTime = std::chrono::milliseconds(2600);
        /** The process ends this long before it would be killed. */
        Duration leaveMargin = std::chrono::milliseconds(300);
    };

private:
    Settings m_settings;
    TimePoint m_startedAt = timeNever;

public:
    explicit ShutdownPlan(Settings settings);

    void start(TimePoint now);
    bool isStarted() const;

    /** Whether a request that arrives now is served. */
    bool servesNewRequests(TimePoint now) const;

    /** Whether connections without a request are closed. */
    bool closesIdleConnections(TimePoint now) const;

    /** Whether the process ends. */
    bool mayLeave(TimePoint now, std::size_t openRequests) const;
};

}
