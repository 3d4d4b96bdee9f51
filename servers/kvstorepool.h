#pragma once

#include "core/time.h"
#include "servers/kvlinkbudget.h"
#include "servers/storedprefixes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/** A KV cache store of the fleet. */
struct KvStoreInfo
{
    /** "IP:port". */
    std::string address;
    /** Capacity in tokens; stores get prefixes in proportion to it. */
    std::int64_t capacityTokens = 0;
    double linkBytesPerSecond = 0;
};

/**
 * The KV cache stores of the fleet. Rendezvous hashing over the reachable
 * stores, weighted by capacity, assigns each prefix one store, which all entry
 * daemons compute without coordination. One store could neither hold all
 * prefixes nor serve all fetches over its link.
 */
class KvStorePool
{
public:
    struct Store
    {
        KvStoreInfo info;
        /** What the store is known to hold. */
        StoredPrefixes stored{StoredPrefixes::Settings()};
        /** The use of the store's link. */
        KvLinkBudget link;
    };

private:
    std::map<std::string, Store> m_stores;

public:
    /** Sets the stores; what is known about the ones that stay is kept. Their links are shared by @p daemons entry daemons. */
    void setStores(const std::vector<KvStoreInfo> &stores, int daemons);

    /** Returns nullptr if there is no store with this address. */
    Store *find(const std::string &address);

    /** Returns the store of a prefix; nullptr if no store is reachable. */
    Store *storeOf(std::uint64_t prefixHash);
};

}
