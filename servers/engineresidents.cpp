#include "servers/engineresidents.h"

#include <iterator>

namespace citronspar
{

EngineResidents::EngineResidents(Duration memory)
    : m_memory(memory)
{
}

void EngineResidents::noteRead(const std::string &engine, std::uint64_t prefix, TimePoint now)
{
    if (now >= m_nextSweep) {
        m_nextSweep = now + m_memory;
        for (auto it = m_readAt.begin(); it != m_readAt.end();) {
            it = now - it->second > m_memory ? m_readAt.erase(it) : std::next(it);
        }
    }
    m_readAt[{engine, prefix}] = now;
}

bool EngineResidents::isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const
{
    const auto found = m_readAt.find({engine, prefix});
    return found != m_readAt.end() && now - found->second <= m_memory;
}

}
