#include "servers/residentprefixes.h"

#include <iterator>

namespace citronspar
{

ResidentPrefixes::ResidentPrefixes(Duration lifetime)
    : m_lifetime(lifetime)
{
}

void ResidentPrefixes::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + m_lifetime;
    for (auto prefix = m_prefilledAt.begin(); prefix != m_prefilledAt.end();) {
        PrefillTimes &times = prefix->second;
        for (auto it = times.begin(); it != times.end();) {
            it = now - it->second > m_lifetime ? times.erase(it) : std::next(it);
        }
        prefix = times.empty() ? m_prefilledAt.erase(prefix) : std::next(prefix);
    }
}

void ResidentPrefixes::recordPrefilled(const std::string &engine, std::uint64_t prefix, TimePoint now)
{
    sweep(now);
    m_prefilledAt[prefix][engine] = now;
}

bool ResidentPrefixes::isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const
{
    const auto times = m_prefilledAt.find(prefix);
    if (times == m_prefilledAt.end()) {
        return false;
    }
    const auto found = times->second.find(engine);
    return found != times->second.end() && now - found->second <= m_lifetime;
}

std::optional<std::string> ResidentPrefixes::latestEngine(std::uint64_t prefix, const EngineFilter &filter, TimePoint now) const
{
    const auto times = m_prefilledAt.find(prefix);
    if (times == m_prefilledAt.end()) {
        return std::nullopt;
    }
    std::optional<std::string> last;
    TimePoint lastAt = now - m_lifetime;
    for (const std::pair<const std::string, TimePoint> &entry : times->second) {
        if (entry.second >= lastAt && filter(entry.first)) {
            last = entry.first;
            lastAt = entry.second;
        }
    }
    return last;
}

}
