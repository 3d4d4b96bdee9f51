#include "servers/endpointdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronspar
{

namespace
{

// The platform removes the entry of an endpoint that is silent for three heartbeats.
constexpr Duration expiryTime = std::chrono::seconds(5);

constexpr std::size_t maxDepartures = 10000;

}

EndpointDirectory::EndpointDirectory(Duration returnGrace)
    : m_returnGrace(returnGrace)
{
}

void EndpointDirectory::recordOutage(TimePoint now)
{
    m_lastOutage = now;
    for (std::pair<const std::string, TimePoint> &removal : m_pendingRemovals) {
        removal.second = now + m_returnGrace;
    }
}

const EndpointDirectory::Departure *EndpointDirectory::findDeparture(const ListedEndpoint &endpoint) const
{
    const auto found = m_departures.find(endpoint.id);
    return found != m_departures.end() && found->second.startedMs == endpoint.startedMs ? &found->second : nullptr;
}

void EndpointDirectory::recordDeparture(const ListedEndpoint &endpoint)
{
    if (m_departures.size() >= maxDepartures) {
        m_departures.erase(m_departures.begin());
    }
    m_departures[endpoint.id] = Departure{endpoint.startedMs, endpoint.isDraining};
}

void EndpointDirectory::put(ListedEndpoint endpoint)
{
    m_pendingRemovals.erase(endpoint.id);
    m_doubtful.erase(endpoint.id);
    m_isIndexed = false;
    const Departure *departure = findDeparture(endpoint);
    endpoint.isDraining = endpoint.isDraining || (departure != nullptr && departure->isDraining);
    if (endpoint.isDraining) {
        recordDeparture(endpoint);
    } else {
        m_departures.erase(endpoint.id);
    }
    const std::string id = endpoint.id;
    m_endpoints[id] = std::move(endpoint);
}

void EndpointDirectory::remove(const std::string &id, TimePoint now)
{
    m_doubtful.erase(id);
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    // A draining endpoint has announced that it leaves, so the outage did not cause its removal.
    const bool mayReturn = m_lastOutage != timeNever && now < m_lastOutage + m_returnGrace && !found->second.isDraining;
    if (mayReturn) {
        m_pendingRemovals.emplace(id, m_lastOutage + m_returnGrace);
        return;
    }
    m_isIndexed = false;
    recordDeparture(found->second);
    m_endpoints.erase(found);
}

void EndpointDirectory::replaceAll(std::vector<ListedEndpoint> endpoints, TimePoint now, bool isOlderCopy)
{
    std::set<std::string> present;
    for (ListedEndpoint &endpoint : endpoints) {
        const std::string id = endpoint.id;
        present.insert(id);
        if (isOlderCopy && m_endpoints.count(id) == 0 && findDeparture(endpoint) != nullptr) {
            m_doubtful[id] = {std::move(endpoint), now + expiryTime};
        } else {
            put(std::move(endpoint));
        }
    }
    std::vector<std::string> missing;
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints) {
        if (present.count(entry.first) == 0) {
            missing.push_back(entry.first);
        }
    }
    for (const std::string &id : missing) {
        remove(id, now);
    }
}

bool EndpointDirectory::applyDueRemovals(TimePoint now)
{
    bool isChanged = false;
    std::vector<ListedEndpoint> running;
    for (const std::pair<const std::string, std::pair<ListedEndpoint, TimePoint>> &doubtful : m_doubtful) {
        if (doubtful.second.second <= now) {
            running.push_back(doubtful.second.first);
        }
    }
    for (ListedEndpoint &endpoint : running) {
        put(std::move(endpoint));
        isChanged = true;
    }
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_isIndexed = false;
        const auto found = m_endpoints.find(it->first);
        if (found != m_endpoints.end()) {
            recordDeparture(found->second);
            m_endpoints.erase(found);
        }
        it = m_pendingRemovals.erase(it);
        isChanged = true;
    }
    return isChanged;
}

const ListedEndpoint *EndpointDirectory::find(const std::string &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void EndpointDirectory::rebuildIndex() const
{
    m_isIndexed = true;
    m_availableByService.clear();
    m_byAddress.clear();
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints) {
        m_byAddress[entry.second.address].push_back(&entry.second);
    }
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints) {
        const ListedEndpoint &endpoint = entry.second;
        // Only the most recently started of the entries that share an address can still be running.
        const std::vector<const ListedEndpoint *> &sameAddress = m_byAddress[endpoint.address];
        const bool isNewest = std::all_of(sameAddress.begin(), sameAddress.end(), [&](const ListedEndpoint *other) {
            return other->startedMs <= endpoint.startedMs;
        });
        if (!endpoint.isDraining && isNewest) {
            m_availableByService[endpoint.service].push_back(&endpoint);
        }
    }
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::available(const std::string &service) const
{
    if (!m_isIndexed) {
        rebuildIndex();
    }
    return m_availableByService[service];
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::atAddress(const std::string &address) const
{
    if (!m_isIndexed) {
        rebuildIndex();
    }
    return m_byAddress[address];
}

const std::map<std::string, ListedEndpoint> &EndpointDirectory::all() const
{
    return m_endpoints;
}

}
