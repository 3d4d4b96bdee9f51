#pragma once

#include "core/time.h"
#include "servers/blockindex.h"
#include "servers/expectedblocks.h"
#include "servers/fairqueue.h"
#include "tests/fakes/eventscheduler.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace citronspar
{

/** One request submitted to a simulated engine. */
struct EngineWork
{
    AttemptId attempt;
    std::string account;
    std::vector<std::uint64_t> blocks;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::function<void(std::int64_t cachedBlocks)> onFirstToken;
    std::function<void()> onCrash;
};

/** Parameters of a simulated engine. */
struct EngineSettings
{
    std::size_t cacheBlocks = 60;
    double prefillTokensPerSecond = 25000;
    /** Fraction of the prefill rate that each decoding request takes. */
    double decodeShare = 0.004;
    Duration timePerToken = std::chrono::milliseconds(20);
    Duration eventDelay = std::chrono::milliseconds(200);
    /** Probability that a cache event is lost. */
    double eventLossRate = 0.001;
    /** How long the endpoint daemon assumes that the blocks of a dispatched request are cached if no event confirms it. */
    Duration expectedBlockLifetime = std::chrono::seconds(20);
};

/**
 * Simulates a model engine with its endpoint daemon. The request queue and
 * block index are the daemon's real classes; prefill, decoding and the LRU
 * cache of the engine are modelled.
 */
class BenchEngine
{
private:
    EventScheduler &m_scheduler;
    EngineSettings m_settings;
    FairQueue m_queue;
    BlockIndex m_blockIndex;
    ExpectedBlocks m_expectedBlocks;
    std::map<AttemptId, EngineWork> m_pendingWork;
    std::list<std::uint64_t> m_lruOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::int64_t m_incarnation = 1;
    std::int64_t m_sequence = 0;
    std::int64_t m_decoding = 0;
    bool m_isPrefilling = false;
    bool m_isUp = true;
    TimePoint m_prefillEnd{};

    void startNext();
    void finishPrefill(const EngineWork &work, std::int64_t cachedBlocks);
    void touchBlocks(const std::vector<std::uint64_t> &blocks);
    void publishEvent(bool isStored, const std::vector<std::uint64_t> &blocks);
    std::int64_t uncachedTokens(const EngineWork &work) const;

public:
    BenchEngine(EventScheduler &scheduler, const EngineSettings &settings);

    void submit(EngineWork work);

    /** Drops the cache and all pending work, and restarts the engine after @p downtime. */
    void crash(Duration downtime);

    bool isUp() const;

    /** Number of leading blocks that are in the engine's cache. */
    std::int64_t cachedBlocks(const std::vector<std::uint64_t> &blocks) const;

    /** Number of leading blocks that the endpoint daemon assumes to be cached. */
    std::int64_t estimatedCachedBlocks(const std::vector<std::uint64_t> &blocks) const;

    bool hasBlock(std::uint64_t block) const;

    /** Number of tokens that would be prefilled before a new request of @p account. */
    std::int64_t queuedTokens(const std::string &account) const;
};

}
