#include "servers/fleetstate.h"

#include "core/hash.h"

#include <iterator>

namespace citronspar
{

namespace
{

template<class Value> const Value *findIn(const std::map<std::string, Value> &map, const std::string &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

}

std::int64_t FleetState::version() const
{
    return m_version;
}

const FleetState::Defaults &FleetState::defaults() const
{
    return m_defaults;
}

const FleetState::Defaults &FleetState::settingsFor(const std::string &target) const
{
    const Defaults *settings = findIn(m_settingsByTarget, target);
    return settings != nullptr ? *settings : m_defaults;
}

const Roster &FleetState::roster() const
{
    return m_roster;
}

const std::map<std::string, Account> &FleetState::accounts() const
{
    return m_accounts;
}

const std::map<std::string, Endpoint> &FleetState::endpoints() const
{
    return m_endpoints;
}

const std::map<std::string, LimitHolderRow> &FleetState::holders() const
{
    return m_holders;
}

const std::map<std::string, std::string> &FleetState::daemons() const
{
    return m_daemons;
}

const Key *FleetState::findKeyByDigest(const std::string &digest) const
{
    return findIn(m_keysByDigest, digest);
}

const Key *FleetState::findKeyById(const std::string &id) const
{
    return findIn(m_keysById, id);
}

const Account *FleetState::findAccount(const std::string &id) const
{
    return findIn(m_accounts, id);
}

const Endpoint *FleetState::findEndpoint(const std::string &id) const
{
    return findIn(m_endpoints, id);
}

const Route *FleetState::findRoute(const std::string &path) const
{
    const Route *best = nullptr;
    for (const std::pair<const std::string, Route> &entry : m_routes) {
        const Route &route = entry.second;
        const bool isMatch = path.compare(0, route.path.size(), route.path) == 0;
        if (isMatch && (best == nullptr || route.path.size() > best->path.size())) {
            best = &route;
        }
    }
    return best;
}

std::vector<const Endpoint *> FleetState::endpointsOfPool(const std::string &pool) const
{
    std::vector<const Endpoint *> endpoints;
    for (const std::pair<const std::string, Endpoint> &entry : m_endpoints) {
        if (entry.second.pool == pool && !entry.second.isRetired) {
            endpoints.push_back(&entry.second);
        }
    }
    return endpoints;
}

std::string FleetState::shardOf(const std::string &account) const
{
    if (m_holders.empty()) {
        return std::string();
    }
    const std::uint64_t shardIndex = hashBytes(account, 0) % m_holders.size();
    return std::next(m_holders.begin(), static_cast<std::ptrdiff_t>(shardIndex))->first;
}

}
