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
    /** The engine that gets the request, and the one that is the home of its shared prefix; the latter may be empty. */
    std::string engine;
    std::string home;
    std::string salt;
    std::uint64_t prefixHash = 0;
    std::vector<std::string> sharedParts;
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    double bytesPerToken = 0;
};

/** Where a request's KV cache comes from and goes to. */
struct TransferPlan
{
    enum class Source {
        None,
        Store,
        Home,
    };
    Source fetchFrom = Source::None;
    bool savesToStore = false;
};

/**
 * Decides for each request whether its engine fetches the shared prefix, from
 * where, and whether it saves the prompt to the KV store.
 */
class TransferPlanner
{
private:
    StoredPrefixes m_stored;
    EngineResidents m_residents;
    KvLinkBudget m_link;

    static std::uint64_t residentKey(const std::string &salt, std::uint64_t prefixHash);

public:
    TransferPlanner();

    /** The store of kept KV cache, with its link shared by @p daemons entry daemons. */
    void setLink(double bytesPerSecond, int daemons);

    /** Decides and takes the transfers into account. */
    TransferPlan plan(const TransferQuestion &question, TimePoint now);

    /** An engine has read a shared prefix. */
    void noteRead(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now);

    /** What the store holds, for those who follow its events. */
    StoredPrefixes &stored();
};

}
