#include "servers/completionhistory.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration generationTime = std::chrono::seconds(10);
constexpr std::size_t maxGenerationEntries = 8192;

}

void CompletionHistory::recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now)
{
    if (m_currentSince == timeNever) {
        m_currentSince = now;
    }
    if (now - m_currentSince >= generationTime || m_current.size() >= maxGenerationEntries) {
        m_previous = std::move(m_current);
        m_current = Generation();
        m_currentSince = now;
    }
    for (const CrashSuspect &suspect : suspects) {
        Entry &entry = m_current[suspect.id];
        ++entry.completions;
        entry.lastSentAt = std::max(entry.lastSentAt, sentAt);
    }
}

std::int64_t CompletionHistory::completions(SuspectId suspect) const
{
    std::int64_t count = 0;
    for (const Generation *generation : {&m_current, &m_previous}) {
        const auto found = generation->find(suspect);
        count += found == generation->end() ? 0 : found->second.completions;
    }
    return count;
}

TimePoint CompletionHistory::lastSentAt(SuspectId suspect) const
{
    TimePoint latest = timeNever;
    for (const Generation *generation : {&m_current, &m_previous}) {
        const auto found = generation->find(suspect);
        latest = found == generation->end() ? latest : std::max(latest, found->second.lastSentAt);
    }
    return latest;
}

}
