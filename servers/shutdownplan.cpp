#include "servers/shutdownplan.h"

#include <algorithm>

namespace citronspar
{

ShutdownPlan::ShutdownPlan(Settings settings)
    : m_settings(settings)
{
}

void ShutdownPlan::start(TimePoint now)
{
    m_startedAt = now;
}

bool ShutdownPlan::isStarted() const
{
    return m_startedAt != timeNever;
}

Duration ShutdownPlan::exitTime() const
{
    return std::max(m_settings.grace - m_settings.exitMargin, Duration::zero());
}

Duration ShutdownPlan::servingTime() const
{
    // With a short grace, a request that is taken has at least as much time as has passed.
    return std::min(m_settings.balancerDetectionTime, answerTime() / 2);
}

Duration ShutdownPlan::answerTime() const
{
    return std::max(exitTime() - m_settings.answerMargin, exitTime() / 2);
}

bool ShutdownPlan::servesNewRequests(TimePoint now) const
{
    return !isStarted() || now - m_startedAt < servingTime();
}

bool ShutdownPlan::mayStartAttempt(TimePoint now) const
{
    return !isStarted() || now - m_startedAt < std::max(servingTime(), answerTime() - m_settings.minAttemptTime);
}

bool ShutdownPlan::closesIdleConnections(TimePoint now) const
{
    return isStarted() && now - m_startedAt >= m_settings.balancerDetectionTime;
}

bool ShutdownPlan::mayExit(TimePoint now, std::size_t openRequests) const
{
    if (!isStarted()) {
        return false;
    }
    const Duration elapsed = now - m_startedAt;
    return elapsed >= exitTime() || (openRequests == 0 && elapsed >= m_settings.balancerDetectionTime + m_settings.idleMargin);
}

}
