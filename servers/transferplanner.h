#pragma once

#include "core/time.h"
#include "servers/engineresidents.h"
#include "servers/kvlinkbudget.h"
#include "servers/storedprefixes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** What moving a prompt's KV cache depends on. */
struct TransferQuestion
{
    /** The engine that gets the request. */
    std::string engine;
    /** Whether it is the home of the shared prefix, where other requests have mostly had it read. */
    bool isHome = false;
    /** Other engines that most likely keep the shared prefix, and its first part; may be empty. */
    std::string keeper;
    std::string templateKeeper;
    /** How many prefixes, the first part and all shared parts, the engine and the keeper have; negative when that isn't known. */
    int knownPrefixes = -1;
    int keeperPrefixes = -1;
    std::string salt;
    std::uint64_t prefixHash = 0;
    std::uint64_t templateHash = 0;
    /** The ids of all parts that other requests share, and their tokens. */
    std::vector<std::string> sharedParts;
    std::int64_t sharedTokens = 0;
    /** Tokens of the first part. */
    std::int64_t templateTokens = 0;
    std::int64_t ownTokens = 0;
    double bytesPerToken = 0;

    /** The first part alone. */
    std::vector<std::string> templateParts() const;
};

/** Where a request's KV cache comes from and goes to. */
struct TransferPlan
{
    /** The engine to fetch from; empty for none. */
    std::string fetchFromEngine;
    bool fetchesFromStore = false;
    bool savesToStore = false;
};

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
