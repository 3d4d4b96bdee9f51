#pragma once

#include "core/time.h"
#include "servers/blockindex.h"
#include "servers/expectedblocks.h"
#include "servers/fairqueue.h"
#include "tests/fakes/schedule.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace citronspar
{

/** One prompt that an engine works on. */
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

/** How a fake engine behaves. */
struct EngineSettings
{
    std::size_t cacheBlocks = 60;
    double prefillTokensPerSecond = 25000;
    /** The share of the prefill rate that each running answer takes. */
    double decodeShare = 0.004;
    Duration timePerToken = std::chrono::milliseconds(20);
    Duration maxEventDelay = std::chrono::milliseconds(200);
    double lostEvents = 0.001;
    /** How long the daemon expects the blocks of a dispatched request to be cached without an event. */
    Duration expectedFor = std::chrono::seconds(20);
};

/**
 * A model engine with its endpoint daemon: the daemon's real queue and block
 * index, and a fake engine with prefill, running answers and an LRU cache.
 */
class BenchEngine
{
private:
    Schedule &m_schedule;
    EngineSettings m_settings;
    FairQueue m_queue;
    BlockIndex m_index;
    ExpectedBlocks m_expected;
    std::map<AttemptId, EngineWork> m_work;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::int64_t m_incarnation = 1;
    std::int64_t m_sequence = 0;
    std::int64_t m_running = 0;
    bool m_isPrefilling = false;
    bool m_isUp = true;
    TimePoint m_prefillEnd{};

    void startNext();
    void finishPrefill(const EngineWork &work, std::int64_t cachedBlocks);
    void touch(const std::vector<std::uint64_t> &blocks);
    void publish(bool isStored, const std::vector<std::uint64_t> &blocks);
    std::int64_t missingTokens(const EngineWork &work) const;

public:
    BenchEngine(Schedule &schedule, const EngineSettings &settings);

    void submit(EngineWork work);

    /** The engine loses its cache and all work, and is back after @p downTime. */
    void crash(Duration downTime);

    bool isUp() const;

    /** Leading blocks that the engine really has. */
    std::int64_t cachedBlocks(const std::vector<std::uint64_t> &blocks) const;

    /** Leading blocks that the daemon's index knows of. */
    std::int64_t knownBlocks(const std::vector<std::uint64_t> &blocks) const;

    bool hasBlock(std::uint64_t block) const;

    /** Tokens that the engine would work through before a new request of @p account. */
    std::int64_t queuedTokens(const std::string &account) const;
};

}
