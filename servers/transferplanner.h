#pragma once

#include "core/time.h"
#include "servers/engineresidents.h"
#include "servers/kvlinkbudget.h"
#include "servers/storedprefixes.h"
#include "servers/transferplan.h"
#include "servers/transferquestion.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Decides for each request whether its engine fetches the shared prefix, from
 * where, and whether it saves the prompt to the KV store. Most prefixes are new
 * after new weights, but nearly all begin with one of a few first parts, which
 * each engine would read again: those come from an engine that has one, over
 * many links at once, rather than from the store over its single one.
 */
class TransferPlanner
{
private:
    StoredPrefixes m_stored;
    EngineResidents m_residents;
    KvLinkBudget m_link;

    bool isLinkFree(TimePoint now);
    void planSave(const TransferQuestion &question, TimePoint now, TransferPlan &plan);
    void planFetch(const TransferQuestion &question, const EngineResidents::EngineFilter &isUsable, TimePoint now, TransferPlan &plan);
    static std::uint64_t residentKey(const std::string &salt, std::uint64_t prefixHash);

public:
    TransferPlanner();

    /** The store of kept KV cache, with its link shared by @p daemons entry daemons. */
    void setLink(double bytesPerSecond, int daemons);

    /**
     * Decides and takes the transfers into account.
     * @param isUsable tells whether an engine may be fetched from
     */
    TransferPlan plan(const TransferQuestion &question, const EngineResidents::EngineFilter &isUsable, TimePoint now);

    /** An engine has read a prefix, or the first part of one. */
    void noteRead(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now);

    /** What the store holds, for those who follow its events. */
    StoredPrefixes &stored();
};

}
