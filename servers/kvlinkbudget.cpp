#include "servers/kvlinkbudget.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Fraction of the configured bandwidth that the budget assumes. It is not reduced, although most transfers cross
// availability zones, which takes twice as long.
constexpr double usableFraction = 1.0;

}

void KvLinkBudget::setLink(double bytesPerSecond, int daemons)
{
    m_bytesPerSecond = bytesPerSecond * usableFraction / std::max(daemons, 1);
}

void KvLinkBudget::drain(TimePoint now)
{
    if (m_drainedAt != timeNever) {
        m_backlogBytes = std::max(0.0, m_backlogBytes - toSeconds(now - m_drainedAt) * m_bytesPerSecond);
    }
    m_drainedAt = now;
}

Duration KvLinkBudget::backlog(TimePoint now)
{
    drain(now);
    return m_bytesPerSecond > 0 ? fromSeconds(m_backlogBytes / m_bytesPerSecond) : Duration::zero();
}

void KvLinkBudget::add(double bytes, TimePoint now)
{
    drain(now);
    m_backlogBytes += bytes;
}

}
