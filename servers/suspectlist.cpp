#include "servers/suspectlist.h"

#include <algorithm>

namespace citronspar
{

SuspectList::SuspectList(std::size_t maxCrashes, Duration blockTime, std::size_t capacity)
    : m_maxCrashes(maxCrashes)
    , m_blockTime(blockTime)
    , m_capacity(capacity)
{
}

void SuspectList::expire(TimePoint now)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = now - it->second.lastCrash > m_blockTime ? m_suspects.erase(it) : std::next(it);
    }
    if (m_suspects.size() < m_capacity) {
        return;
    }
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &first, const auto &second) {
        return first.second.lastCrash < second.second.lastCrash;
    });
    m_suspects.erase(oldest);
}

std::size_t SuspectList::addCrash(std::uint64_t digest, std::uint64_t crashId, TimePoint now)
{
    expire(now);
    Suspect &suspect = m_suspects[digest];
    if (suspect.crashIds.size() < m_maxCrashes) {
        suspect.crashIds.insert(crashId);
    }
    suspect.lastCrash = now;
    return suspect.crashIds.size();
}

bool SuspectList::isBlocked(std::uint64_t digest, TimePoint now) const
{
    const auto found = m_suspects.find(digest);
    return found != m_suspects.end() && found->second.crashIds.size() >= m_maxCrashes && now - found->second.lastCrash <= m_blockTime;
}

bool SuspectList::isSuspect(std::uint64_t digest, TimePoint now) const
{
    const auto found = m_suspects.find(digest);
    return found != m_suspects.end() && now - found->second.lastCrash <= m_blockTime;
}

}
