#pragma once

#include "servers/trafficconfig.h"

namespace citronspar
{

/**
 * Tracks the attempts of one request at endpoints: whether it may be retried, and
 * whether it can be reported as not run.
 */
class AttemptTracker
{
private:
    RetryPolicy m_retryPolicy;
    int m_maxAttempts;
    int m_attemptCount = 0;
    int m_possibleRuns = 0;

public:
    /** Maximum number of endpoints that a request is sent to, whatever its retry policy and the results. */
    static constexpr int maxAttemptsPerRequest = 4;

    /** @param maxAttempts how many endpoints may run the request if it is idempotent */
    AttemptTracker(RetryPolicy retryPolicy, int maxAttempts);

    /** The request was sent to an endpoint. It counts as possibly run there until recordNotRun(). */
    void recordSent();

    /** The last attempt did not reach the endpoint, or the endpoint reported that it did not run the request. */
    void recordNotRun();

    /** Whether the request may be sent to another endpoint. */
    bool canRetry() const;

    /** Whether it is certain that no endpoint ran the request. */
    bool isCertainlyNotRun() const;

    int attemptCount() const;
};

}
