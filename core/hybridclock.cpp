#include "core/hybridclock.h"

namespace citronspar
{

HybridTime HybridClock::tick(std::chrono::microseconds wallNow)
{
    if (wallNow > m_last.wall) {
        m_last = HybridTime{wallNow, 0};
    } else {
        ++m_last.counter;
    }
    return m_last;
}

void HybridClock::observe(HybridTime remote)
{
    if (m_last < remote) {
        m_last = remote;
    }
}

}
