#include "servers/shutdownplan.h"

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

bool ShutdownPlan::servesNewRequests(TimePoint now) const
{
    return !isStarted() || now - m_startedAt < m_settings.balancerDetectionTime;
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
    return elapsed >= m_settings.grace - m_settings.exitMargin
        || (openRequests == 0 && elapsed >= m_settings.balancerDetectionTime + m_settings.idleMargin);
}

}
