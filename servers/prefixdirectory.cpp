#include "servers/prefixdirectory.h"

#include "servers/residentprefixes.h"
#include "servers/storedprefixes.h"

#include <algorithm>
#include <iterator>

namespace citronspar
{

namespace
{

constexpr Duration sweepPeriod = std::chrono::seconds(2);

bool isWithin(TimePoint at, Duration lifetime, TimePoint now)
{
    return at != timeNever && now - at <= lifetime;
}

}

void PrefixDirectory::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepPeriod;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool isUseful = isWithin(it->second.cachedAt, engineCacheLifetime, now) || isWithin(it->second.savedAt, savedLifetime, now);
        it = isUseful ? std::next(it) : m_entries.erase(it);
    }
}

void PrefixDirectory::recordCached(std::int64_t prefix, const std::string &engine, TimePoint now)
{
    sweep(now);
    Entry &entry = m_entries[prefix];
    entry.engine = engine;
    entry.cachedAt = now;
}

void PrefixDirectory::recordSaved(std::int64_t prefix, TimePoint now)
{
    sweep(now);
    m_entries[prefix].savedAt = now;
}

PrefixRecord PrefixDirectory::find(std::int64_t prefix, TimePoint now) const
{
    PrefixRecord record;
    const auto found = m_entries.find(prefix);
    if (found == m_entries.end()) {
        return record;
    }
    const Entry &entry = found->second;
    if (isWithin(entry.cachedAt, engineCacheLifetime, now)) {
        record.engine = entry.engine;
        record.cachedAge = now - entry.cachedAt;
    }
    if (isWithin(entry.savedAt, savedLifetime, now)) {
        record.savedAge = now - entry.savedAt;
    }
    return record;
}

}
