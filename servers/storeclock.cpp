#include "servers/storeclock.h"

#include <algorithm>

namespace citronspar
{

bool StoreClock::needsShortExchange(TimePoint now) const
{
    return m_lastShortExchange == timeNever || now - m_lastShortExchange > shortExchangePeriod;
}

void StoreClock::recordShortExchange(TimePoint now)
{
    m_lastShortExchange = now;
}

namespace
{

// The store truncates its clock to milliseconds, so the actual time may be later by up to this much.
constexpr Duration storeResolution = std::chrono::milliseconds(1);

}

TimePoint StoreClock::estimateAnswerTime(TimePoint sentAt, TimePoint receivedAt, Duration storeTime)
{
    if (storeTime < m_lastStoreTime) {
        // The store restarted, and its clock with it.
        m_offsetBound.reset();
        m_nextOffsetBound.reset();
    }
    m_lastStoreTime = storeTime;
    const Duration bound = sentAt.time_since_epoch() - storeTime - storeResolution;
    if (m_renewAt == timeNever || receivedAt >= m_renewAt) {
        m_offsetBound = m_nextOffsetBound;
        m_nextOffsetBound.reset();
        m_renewAt = receivedAt + boundLifetime;
    }
    m_offsetBound = m_offsetBound.has_value() ? std::max(*m_offsetBound, bound) : bound;
    m_nextOffsetBound = m_nextOffsetBound.has_value() ? std::max(*m_nextOffsetBound, bound) : bound;
    return std::clamp(TimePoint(storeTime + *m_offsetBound), sentAt, receivedAt);
}

std::optional<Duration> StoreClock::offset() const
{
    return m_offsetBound;
}

}
