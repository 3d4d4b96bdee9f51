#include "servers/storeclock.h"

#include <algorithm>

namespace citronspar
{

bool StoreClock::needsShortExchange(TimePoint now) const
{
    return m_lastShortExchange == timeNever || now - m_lastShortExchange > shortExchangePeriod;
}

void StoreClock::noteShortExchange(TimePoint now)
{
    m_lastShortExchange = now;
}

namespace
{

// The store counts whole milliseconds, so its clock may be this much ahead of what it says.
constexpr Duration storeResolution = std::chrono::milliseconds(1);

}

TimePoint StoreClock::answeredAt(TimePoint askedAt, TimePoint receivedAt, Duration storeTime)
{
    if (storeTime < m_lastStoreTime) {
        // The store's clock began anew.
        m_bound.reset();
        m_nextBound.reset();
    }
    m_lastStoreTime = storeTime;
    const Duration bound = askedAt.time_since_epoch() - storeTime - storeResolution;
    if (m_renewAt == timeNever || receivedAt >= m_renewAt) {
        m_bound = m_nextBound;
        m_nextBound.reset();
        m_renewAt = receivedAt + boundLifetime;
    }
    m_bound = m_bound.has_value() ? std::max(*m_bound, bound) : bound;
    m_nextBound = m_nextBound.has_value() ? std::max(*m_nextBound, bound) : bound;
    return std::clamp(TimePoint(storeTime + *m_bound), askedAt, receivedAt);
}

}
