#include "servers/engineresidents.h"

#include <iterator>

namespace citronspar
{

EngineResidents::EngineResidents(Duration memory)
    : m_memory(memory)
{
}

void EngineResidents::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + m_memory;
    for (auto prefix = m_readAt.begin(); prefix != m_readAt.end();) {
        ReadTimes &times = prefix->second;
        for (auto it = times.begin(); it != times.end();) {
            it = now - it->second > m_memory ? times.erase(it) : std::next(it);
        }
        prefix = times.empty() ? m_readAt.erase(prefix) : std::next(prefix);
    }
}

void EngineResidents::noteRead(const std::string &engine, std::uint64_t prefix, TimePoint now)
{
    sweep(now);
    m_readAt[prefix][engine] = now;
}

bool EngineResidents::isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const
{
    const auto times = m_readAt.find(prefix);
    if (times == m_readAt.end()) {
        return false;
    }
    const auto found = times->second.find(engine);
    return found != times->second.end() && now - found->second <= m_memory;
}

std::optional<std::string> EngineResidents::lastReader(std::uint64_t prefix, const EngineFilter &filter, TimePoint now) const
{
    const auto times = m_readAt.find(prefix);
    if (times == m_readAt.end()) {
        return std::nullopt;
    }
    std::optional<std::string> last;
    TimePoint lastAt = now - m_memory;
    for (const std::pair<const std::string, TimePoint> &reader : times->second) {
        if (reader.second >= lastAt && filter(reader.first)) {
            last = reader.first;
            lastAt = reader.second;
        }
    }
    return last;
}

}
