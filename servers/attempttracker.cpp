#include "servers/attempttracker.h"

namespace citronspar
{

AttemptTracker::AttemptTracker(RetryPolicy retryPolicy, int maxAttempts)
    : m_retryPolicy(retryPolicy)
    , m_maxAttempts(maxAttempts)
{
}

void AttemptTracker::recordSent()
{
    ++m_attemptCount;
    ++m_possibleRuns;
}

void AttemptTracker::recordNotRun()
{
    --m_possibleRuns;
}

bool AttemptTracker::canRetry() const
{
    if (m_attemptCount >= maxAttemptsPerRequest) {
        return false;
    }
    return m_possibleRuns == 0 || (m_retryPolicy == RetryPolicy::Idempotent && m_possibleRuns < m_maxAttempts);
}

bool AttemptTracker::isCertainlyNotRun() const
{
    return m_possibleRuns == 0;
}

int AttemptTracker::attemptCount() const
{
    return m_attemptCount;
}

}
