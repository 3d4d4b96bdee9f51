#include "servers/endpointsignals.h"

#include "core/hash.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace citronspar
{

namespace
{

// The daemons return to an endpoint spread over this part of its wait.
constexpr int spreadDivisor = 4;
constexpr Duration maxSpread = std::chrono::milliseconds(500);

// Entries of endpoints that ended long ago are removed once there are this many.
constexpr std::size_t maxEntries = 4096;
constexpr Duration entryLifetime = std::chrono::minutes(30);

}

EndpointSignals::EndpointSignals(const std::string &daemon)
    : m_daemonHash(hashBytes(daemon, 0))
{
}

EndpointSignals::Entry &EndpointSignals::entryOf(const std::string &start, TimePoint now)
{
    if (m_entries.size() >= maxEntries) {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            it = now - it->second.saidAt > entryLifetime ? m_entries.erase(it) : std::next(it);
        }
    }
    Entry &entry = m_entries[start];
    entry.saidAt = now;
    return entry;
}

bool EndpointSignals::recordLeaving(const std::string &start, TimePoint now)
{
    Entry &entry = entryOf(start, now);
    const bool wasLeaving = entry.isLeaving;
    entry.isLeaving = true;
    return !wasLeaving;
}

void EndpointSignals::recordWait(const std::string &start, Duration wait, TimePoint now)
{
    const Duration bounded = std::min(wait, maxWait);
    if (bounded <= Duration::zero()) {
        return;
    }
    const Duration spread = std::clamp<Duration>(bounded / spreadDivisor, Duration(1), maxSpread);
    const std::uint64_t hash = hashBytes(start, m_daemonHash);
    const Duration delay(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spread.count())));
    Entry &entry = entryOf(start, now);
    entry.waitUntil = std::max(entry.waitUntil, now + bounded + delay);
}

bool EndpointSignals::isEmpty() const
{
    return m_entries.empty();
}

bool EndpointSignals::isAvailable(const std::string &start, TimePoint now) const
{
    const auto found = m_entries.find(start);
    return found == m_entries.end() || (!found->second.isLeaving && now >= found->second.waitUntil);
}

std::optional<Duration> EndpointSignals::remainingWait(const std::string &start, TimePoint now) const
{
    const auto found = m_entries.find(start);
    const bool isWaiting = found != m_entries.end() && !found->second.isLeaving && now < found->second.waitUntil;
    return isWaiting ? std::optional<Duration>(found->second.waitUntil - now) : std::nullopt;
}

}
