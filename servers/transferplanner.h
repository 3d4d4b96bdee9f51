#pragma once

#include "core/time.h"
#include "servers/kvlinkbudget.h"
#include "servers/residentprefixes.h"
#include "servers/storedprefixes.h"
#include "servers/transferplan.h"
#include "servers/transferquery.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Decides for each request whether its engine fetches the shared prefix, from
 * which source, and whether it saves the prompt to the KV cache store.
 * After a weights change most prefixes are new, but nearly all begin with one of
 * a few first parts (templates), which every engine would otherwise prefill
 * again. First parts are fetched from an engine that has them, over many links in
 * parallel, rather than from the store over its single link.
 */
class TransferPlanner
{
private:
    StoredPrefixes m_stored;
    ResidentPrefixes m_resident;
    KvLinkBudget m_link;

    bool hasFetchCapacity(TimePoint now);
    void planSave(const TransferQuery &query, TimePoint now, TransferPlan &plan);
    void planFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now, TransferPlan &plan);
    static std::uint64_t residentKey(const std::string &salt, std::uint64_t prefixHash);

public:
    TransferPlanner();

    /** Sets the bandwidth of the KV cache store's link, which @p daemons entry daemons share. */
    void setLink(double bytesPerSecond, int daemons);

    /**
     * Plans the transfers of a request and adds them to the link's backlog.
     * @param isUsable returns whether an engine may be fetched from
     */
    TransferPlan plan(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now);

    /** Records that an engine has prefilled a prefix, or the first part of one. */
    void recordPrefilled(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now);

    /** The tracked content of the store, to be updated with its events. */
    StoredPrefixes &storedPrefixes();
};

}
