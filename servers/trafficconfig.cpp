#include "servers/trafficconfig.h"

namespace citronspar
{

const TrafficRoute *TrafficConfig::findRoute(const std::string &host, const std::string &path) const
{
    const TrafficRoute *best = nullptr;
    for (const TrafficRoute &route : routes) {
        const bool matches = route.host == host && path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const TrafficAccount *TrafficConfig::findAccountByKey(const std::string &key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &accounts[found->second];
}

const TrafficAccount *TrafficConfig::findAccountByName(const std::string &name) const
{
    for (const TrafficAccount &account : accounts) {
        if (account.name == name) {
            return &account;
        }
    }
    return nullptr;
}

std::vector<const TrafficService *> TrafficConfig::kvStores() const
{
    std::vector<const TrafficService *> stores;
    for (const std::pair<const std::string, TrafficService> &entry : services) {
        if (!entry.second.kvStoreAddress.empty()) {
            stores.push_back(&entry.second);
        }
    }
    return stores;
}

const std::string &chooseService(const TrafficRoute &route, std::uint64_t requestHash)
{
    double total = 0;
    for (const ServiceShare &share : route.split) {
        total += share.weight;
    }
    // The upper 53 bits give a uniformly distributed fraction in [0, 1).
    double point = static_cast<double>(requestHash >> 11U) / static_cast<double>(1ULL << 53U) * total;
    for (const ServiceShare &share : route.split) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route.split.back().service;
}

}
