#include "servers/endpointdirectory.h"

#include <algorithm>
#include <iterator>
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

void EndpointDirectory::setServices(const std::set<std::string> &services)
{
    if (m_services.has_value()) {
        m_formerServices.insert(m_services->begin(), m_services->end());
    }
    m_services = services;
    std::set<std::string> listed;
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints) {
        listed.insert(entry.second.service);
    }
    for (auto it = m_formerServices.begin(); it != m_formerServices.end();) {
        it = listed.count(*it) == 0 || services.count(*it) > 0 ? m_formerServices.erase(it) : std::next(it);
    }
    m_isIndexed = false;
}

bool EndpointDirectory::hasServices() const
{
    return m_services.has_value();
}

bool EndpointDirectory::isOfNewestConfig(const ListedEndpoint &endpoint) const
{
    return !m_services.has_value() || m_services->count(endpoint.service) > 0;
}

bool EndpointDirectory::isCounted(const ListedEndpoint &endpoint) const
{
    return isOfNewestConfig(endpoint) || m_formerServices.count(endpoint.service) > 0;
}

bool EndpointDirectory::isDisplacedBy(const ListedEndpoint &endpoint, const ListedEndpoint &other) const
{
    const auto occupant = m_occupants.find(endpoint.address);
    if (occupant != m_occupants.end() && (occupant->second == endpoint.id || occupant->second == other.id)) {
        return occupant->second != endpoint.id;
    }
    if (isOfNewestConfig(endpoint) != isOfNewestConfig(other)) {
        return isOfNewestConfig(other);
    }
    return other.startedMs > endpoint.startedMs;
}

bool EndpointDirectory::recordOccupant(const std::string &address, const std::string &id)
{
    const std::vector<const ListedEndpoint *> &sharing = atAddress(address);
    const auto occupant = m_occupants.find(address);
    const bool isKnown = occupant != m_occupants.end() && occupant->second == id;
    const bool isListed = std::any_of(sharing.begin(), sharing.end(), [&](const ListedEndpoint *endpoint) {
        return endpoint->id == id;
    });
    if (sharing.size() < 2 || isKnown || !isListed) {
        return false;
    }
    const bool wasInForce = std::any_of(m_inForce.begin(), m_inForce.end(), [&](const ListedEndpoint *endpoint) {
        return endpoint->id == id;
    });
    m_occupants[address] = id;
    m_isIndexed = false;
    return !wasInForce;
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

bool EndpointDirectory::hasDeparted(const ListedEndpoint &endpoint) const
{
    const auto found = m_departures.find(endpoint.id);
    return found != m_departures.end() && endpoint.startedMs <= found->second.startedMs;
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
    const auto known = m_endpoints.find(id);
    const bool isSameStart
        = known != m_endpoints.end() && known->second.startedMs == endpoint.startedMs && known->second.address == endpoint.address;
    if (!isSameStart) {
        m_occupants.erase(endpoint.address);
    }
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
    erase(found);
}

void EndpointDirectory::erase(std::map<std::string, ListedEndpoint>::iterator endpoint)
{
    m_isIndexed = false;
    recordDeparture(endpoint->second);
    m_occupants.erase(endpoint->second.address);
    m_endpoints.erase(endpoint);
}

void EndpointDirectory::replaceAll(std::vector<ListedEndpoint> endpoints, TimePoint now, bool isOlderCopy)
{
    std::set<std::string> present;
    for (ListedEndpoint &endpoint : endpoints) {
        const std::string id = endpoint.id;
        present.insert(id);
        const auto known = m_endpoints.find(id);
        const bool isEarlierStart = isOlderCopy && known != m_endpoints.end() && endpoint.startedMs < known->second.startedMs;
        if (isOlderCopy && known == m_endpoints.end() && hasDeparted(endpoint)) {
            m_doubtful[id] = {std::move(endpoint), now + expiryTime};
        } else if (!isEarlierStart) {
            put(std::move(endpoint));
        }
    }
    for (auto it = m_doubtful.begin(); it != m_doubtful.end();) {
        it = present.count(it->first) == 0 ? m_doubtful.erase(it) : std::next(it);
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
        const auto found = m_endpoints.find(it->first);
        if (found != m_endpoints.end()) {
            erase(found);
        }
        it = m_pendingRemovals.erase(it);
        isChanged = true;
    }
    return isChanged;
}

void EndpointDirectory::rebuildIndex() const
{
    m_isIndexed = true;
    m_counted.clear();
    m_inForce.clear();
    m_contested.clear();
    m_availableByService.clear();
    m_byAddress.clear();
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints) {
        if (isCounted(entry.second)) {
            m_counted.push_back(&entry.second);
            m_byAddress[entry.second.address].push_back(&entry.second);
        }
    }
    for (const ListedEndpoint *endpoint : m_counted) {
        const std::vector<const ListedEndpoint *> &sameAddress = m_byAddress[endpoint->address];
        const auto displacing = std::find_if(sameAddress.begin(), sameAddress.end(), [&](const ListedEndpoint *other) {
            return other != endpoint && isDisplacedBy(*endpoint, *other);
        });
        if (displacing != sameAddress.end()) {
            if ((*displacing)->service != endpoint->service && m_occupants.count(endpoint->address) == 0) {
                m_contested.push_back(endpoint);
            }
            continue;
        }
        m_inForce.push_back(endpoint);
        if (!endpoint->isDraining) {
            m_availableByService[endpoint->service].push_back(endpoint);
        }
    }
}

void EndpointDirectory::ensureIndex() const
{
    if (!m_isIndexed) {
        rebuildIndex();
    }
}

const ListedEndpoint *EndpointDirectory::find(const std::string &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() || !isCounted(found->second) ? nullptr : &found->second;
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::available(const std::string &service) const
{
    ensureIndex();
    return m_availableByService[service];
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::atAddress(const std::string &address) const
{
    ensureIndex();
    return m_byAddress[address];
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::all() const
{
    ensureIndex();
    return m_counted;
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::inForce() const
{
    ensureIndex();
    return m_inForce;
}

bool EndpointDirectory::isDisplaced(const std::string &id, const std::string &address, std::int64_t startedMs) const
{
    const std::vector<const ListedEndpoint *> &sameAddress = atAddress(address);
    const auto occupant = m_occupants.find(address);
    if (occupant != m_occupants.end() && occupant->second == id) {
        return false;
    }
    return std::any_of(sameAddress.begin(), sameAddress.end(), [&](const ListedEndpoint *other) {
        const bool isLater = other->id != id && (other->startedMs == 0 || other->startedMs >= startedMs);
        return isLater && std::find(m_inForce.begin(), m_inForce.end(), other) != m_inForce.end();
    });
}

const std::vector<const ListedEndpoint *> &EndpointDirectory::contested() const
{
    ensureIndex();
    return m_contested;
}

}
