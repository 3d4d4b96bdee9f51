#include "servers/storedprefixes.h"

#include <algorithm>
#include <iterator>

namespace citronspar
{

namespace
{

constexpr Duration sweepPeriod = std::chrono::seconds(5);

}

StoredPrefixes::StoredPrefixes(Settings settings)
    : m_settings(settings)
{
}

void StoredPrefixes::setReachable(bool isReachable)
{
    m_isReachable = isReachable;
}

bool StoredPrefixes::isReachable() const
{
    return m_isReachable;
}

void StoredPrefixes::setSubscribed(bool isSubscribed)
{
    m_isSubscribed = isSubscribed;
}

bool StoredPrefixes::isSubscribed() const
{
    return m_isSubscribed;
}

void StoredPrefixes::clear()
{
    m_parts.clear();
}

void StoredPrefixes::recordStored(const std::string &salt, const std::string &part, TimePoint now)
{
    sweep(now);
    m_parts[{salt, part}] = Part{now + m_settings.confirmedLifetime, true};
}

void StoredPrefixes::recordDropped(const std::string &salt, const std::string &part)
{
    m_parts.erase({salt, part});
}

void StoredPrefixes::recordSaveStarted(const std::string &salt, const std::vector<std::string> &parts, TimePoint now)
{
    for (const std::string &part : parts) {
        Part &entry = m_parts[{salt, part}];
        if (!entry.isConfirmed || now >= entry.expiresAt) {
            entry = Part{now + (m_isSubscribed ? m_settings.unconfirmedLifetime : m_settings.unsubscribedLifetime), false};
        }
    }
}

bool StoredPrefixes::holds(const std::string &salt, const std::string &part, TimePoint now) const
{
    const auto found = m_parts.find({salt, part});
    return found != m_parts.end() && now < found->second.expiresAt;
}

bool StoredPrefixes::holdsAll(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const
{
    return std::all_of(parts.begin(), parts.end(), [&](const std::string &part) {
        return holds(salt, part, now);
    });
}

bool StoredPrefixes::shouldSave(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const
{
    return m_isReachable && !holdsAll(salt, parts, now);
}

void StoredPrefixes::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepPeriod;
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        it = now >= it->second.expiresAt ? m_parts.erase(it) : std::next(it);
    }
}

}
