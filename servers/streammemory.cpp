#include "servers/streammemory.h"

#include <utility>

namespace citronspar
{

StreamMemory::StreamMemory(Duration lifetime, std::size_t maxEntries)
    : m_lifetime(lifetime)
    , m_maxEntries(maxEntries)
{
}

void StreamMemory::put(const std::string &name, Entry entry, TimePoint now)
{
    if (m_currentSince == timeNever) {
        m_currentSince = now;
    }
    if (now - m_currentSince >= m_lifetime || m_current.size() >= m_maxEntries / 2) {
        m_previous = std::move(m_current);
        m_current = Generation();
        m_currentSince = now;
    }
    m_current[name] = std::move(entry);
}

const StreamMemory::Entry *StreamMemory::find(const std::string &name) const
{
    for (const Generation *generation : {&m_current, &m_previous}) {
        const auto found = generation->find(name);
        if (found != generation->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

}
