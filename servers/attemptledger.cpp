#include "servers/attemptledger.h"

namespace citronspar
{

AttemptLedger::AttemptLedger(RepeatRule retryPolicy, int maxAttempts)
    : m_retryPolicy(retryPolicy)
    , m_maxAttempts(maxAttempts)
{
}

void AttemptLedger::noteSent()
{
    ++m_tries;
    ++m_possibleRuns;
}

void AttemptLedger::noteNotRun()
{
    --m_possibleRuns;
}

bool AttemptLedger::mayTryAgain() const
{
    if (m_tries >= maxTries) {
        return false;
    }
    return m_possibleRuns == 0 || (m_retryPolicy == RepeatRule::Idempotent && m_possibleRuns < m_maxAttempts);
}

bool AttemptLedger::isSurelyNotRun() const
{
    return m_possibleRuns == 0;
}

int AttemptLedger::tries() const
{
    return m_tries;
}

}
