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
    ++m_tries;
    ++m_possibleRuns;
}

void AttemptTracker::recordNotRun()
{
    --m_possibleRuns;
}

bool AttemptTracker::canRetry() const
{
    if (m_tries >= maxTries) {
        return false;
    }
    return m_possibleRuns == 0 || (m_retryPolicy == RetryPolicy::Idempotent && m_possibleRuns < m_maxAttempts);
}

bool AttemptTracker::isCertainlyNotRun() const
{
    return m_possibleRuns == 0;
}

int AttemptTracker::tries() const
{
    return m_tries;
}

}
