#include "servers/endpointlimits.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace citronspar
{

namespace
{

// An endpoint that states zero is still sent a request now and then, as only a response can lift the limit.
constexpr double minRequestsPerSecond = 0.1;

// Statements of endpoints that ended long ago are removed once there are this many.
constexpr std::size_t maxEntries = 4096;
constexpr Duration entryLifetime = std::chrono::minutes(10);

// Tokens do not accumulate over a longer pause: when a holder ends, all daemons start to use their parts at once.
constexpr Duration maxPartPause = std::chrono::seconds(2);

// The rest is left to daemons that reach the holder.
constexpr double partWithoutHolder = 0.25;

}

void EndpointLimits::recordStatement(const std::string &endpoint, std::optional<double> requestsPerSecond, TimePoint now)
{
    if (!requestsPerSecond.has_value()) {
        m_entries.erase(endpoint);
        return;
    }
    if (m_entries.size() >= maxEntries) {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            it = now - it->second.limit.statedAt > entryLifetime ? m_entries.erase(it) : std::next(it);
        }
    }
    const auto entry = m_entries.emplace(endpoint, Entry{EndpointLimit(), 0, now, std::string()}).first;
    entry->second.limit = EndpointLimit{std::max(*requestsPerSecond, minRequestsPerSecond), now};
}

const EndpointLimit *EndpointLimits::find(const std::string &endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second.limit;
}

bool EndpointLimits::recordHolder(const std::string &endpoint, const std::string &holder)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end()) {
        return false;
    }
    const std::string previous = std::exchange(found->second.holder, holder);
    return !previous.empty() && previous != holder;
}

bool EndpointLimits::tryConsumePart(const std::string &endpoint, int daemonCount, TimePoint now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end()) {
        return true;
    }
    Entry &entry = found->second;
    const double rate = entry.limit.requestsPerSecond * partWithoutHolder / std::max(daemonCount, 1);
    if (now - entry.refilledAt > maxPartPause) {
        entry.level = 0;
        entry.refilledAt = now;
    }
    entry.level = std::min(1.0, entry.level + std::max(0.0, toSeconds(now - entry.refilledAt)) * rate);
    entry.refilledAt = now;
    if (entry.level < 1) {
        return false;
    }
    entry.level -= 1;
    return true;
}

}
