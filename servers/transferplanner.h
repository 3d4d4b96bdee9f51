#pragma once

#include "core/time.h"
#include "servers/kvstorepool.h"
#include "servers/residentprefixes.h"
#include "servers/transferplan.h"
#include "servers/transferquery.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Decides for each request whether its engine fetches the shared prefix, from
 * which source, and whether it saves the prompt to a KV cache store.
 * A prefix is fetched from an engine that is known to have it, over many links
 * in parallel, else from its store. A fetch with a cache miss costs a
 * millisecond, a prefill of the prefix a hundred.
 * After a weights change most prefixes are new, but nearly all begin with one of
 * a few first parts (templates), which every engine would otherwise prefill
 * again.
 */
class TransferPlanner
{
private:
    KvStorePool m_stores;
    ResidentPrefixes m_resident;

    static bool hasFetchCapacity(KvStorePool::Store &store, TimePoint now);
    /** Whether the store is assumed to hold the whole shared prefix. */
    static bool isStored(const TransferQuery &query, const KvStorePool::Store &store, TimePoint now);
    void planSave(const TransferQuery &query, TimePoint now, TransferPlan &plan);
    void planFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now, TransferPlan &plan);
    /** Returns an engine that is known to have the whole shared prefix cached; empty if none is. */
    std::string findSource(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isOtherUsable, bool isStored,
                           TimePoint now) const;
    /** Plans a fallback fetch of a prefix that is expected to be cached. It transfers data only if the engine has evicted the prefix. */
    void planRefetch(const TransferQuery &query, TimePoint now, TransferPlan &plan);
    /** Plans the fetch of the first part of a prefix that is assumed to be new. */
    void planTemplateFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isOtherUsable, TimePoint now,
                           TransferPlan &plan);
    static std::uint64_t residentKey(const std::string &salt, std::uint64_t prefixHash);

public:
    TransferPlanner();

    /**
     * Plans the transfers of a request and adds them to the link's backlog.
     * @param isUsable returns whether an engine may be fetched from
     */
    TransferPlan plan(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now);

    /** Records that an engine has prefilled a prefix, or the first part of one. */
    void recordPrefilled(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now);

    /** The KV cache stores, to be updated with the configuration and their events. */
    KvStorePool &stores();
};

}
