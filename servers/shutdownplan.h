#pragma once

#include "core/time.h"

#include <cstddef>

namespace citronspar
{

/**
 * Phases of the graceful shutdown of a daemon. New requests are still served
 * until the load balancer has detected the shutdown. Later requests are refused,
 * as the exit of the process could interrupt them.
 */
class ShutdownPlan
{
public:
    struct Settings
    {
        /** Time from the termination signal until the process is killed. */
        Duration grace = std::chrono::seconds(8);
        /**
         * Time until the load balancer stops sending connections: it probes once a
         * second and needs two failed probes. The rest covers connections that are
         * already in transit.
         */
        Duration balancerDetectionTime = std::chrono::milliseconds(2600);
        /** Time from the end of that until an idle process exits, so that refusals reach their callers. */
        Duration idleMargin = std::chrono::milliseconds(300);
        /**
         * The process exits this long before it would be killed. Covers the time until it notices the signal, and its exit
         * on a slow VM.
         */
        Duration exitMargin = std::chrono::milliseconds(700);
        /** Time before that exit at which open requests are answered, so that the answers reach their callers. */
        Duration answerMargin = std::chrono::milliseconds(200);
        /** Requests are sent to endpoints until this long before they would be answered unfinished. */
        Duration minAttemptTime = std::chrono::milliseconds(1000);
    };

private:
    Settings m_settings;
    TimePoint m_startedAt = timeNever;

    /** Time from the termination signal until the process exits at the latest. */
    Duration exitTime() const;
    /** Time from the termination signal until new requests are refused. */
    Duration servingTime() const;

public:
    explicit ShutdownPlan(Settings settings);

    void start(TimePoint now);
    bool isStarted() const;

    /** Whether a request that arrives at @p now is served. */
    bool servesNewRequests(TimePoint now) const;

    /** Whether enough of the grace is left to send a request to an endpoint at @p now. */
    bool mayStartAttempt(TimePoint now) const;

    /** Time from the termination signal until requests that are still open are answered, as the process is about to exit. */
    Duration answerTime() const;

    /** Whether connections without an open request are closed, as the load balancer has detected the shutdown. */
    bool closesIdleConnections(TimePoint now) const;

    /**
     * Whether the process may exit: no request is open, or it is about to be killed.
     * @param openRequests requests without a response, and responses of which a part is unsent
     */
    bool mayExit(TimePoint now, std::size_t openRequests) const;
};

}
