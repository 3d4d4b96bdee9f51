#include "servers/kvstorepool.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace citronspar
{

namespace
{

/** The weight of a store for a prefix in weighted rendezvous hashing. */
double rendezvousWeight(const KvStoreInfo &store, std::uint64_t prefixHash)
{
    // The upper 53 bits give a uniformly distributed fraction in (0, 1).
    const double fraction = (static_cast<double>(hashBytes(store.address, prefixHash) >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
    return static_cast<double>(std::max<std::int64_t>(store.capacityTokens, 1)) / -std::log(fraction);
}

}

void KvStorePool::setStores(const std::vector<KvStoreInfo> &stores, int daemons)
{
    std::set<std::string> addresses;
    for (const KvStoreInfo &info : stores) {
        addresses.insert(info.address);
        Store &store = m_stores[info.address];
        store.info = info;
        store.link.setLink(info.linkBytesPerSecond, daemons);
    }
    for (auto it = m_stores.begin(); it != m_stores.end();) {
        it = addresses.count(it->first) > 0 ? std::next(it) : m_stores.erase(it);
    }
}

KvStorePool::Store *KvStorePool::find(const std::string &address)
{
    const auto found = m_stores.find(address);
    return found == m_stores.end() ? nullptr : &found->second;
}

KvStorePool::Store *KvStorePool::storeOf(std::uint64_t prefixHash)
{
    Store *best = nullptr;
    double bestWeight = 0;
    for (std::pair<const std::string, Store> &entry : m_stores) {
        const double weight = rendezvousWeight(entry.second.info, prefixHash);
        if (entry.second.stored.isReachable() && (best == nullptr || weight > bestWeight)) {
            best = &entry.second;
            bestWeight = weight;
        }
    }
    return best;
}

}
