#include "bench/benchengine.h"

#include "bench/workload.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr double maxDecodeShare = 0.5;

}

BenchEngine::BenchEngine(EventScheduler &scheduler, const EngineSettings &settings)
    : m_scheduler(scheduler)
    , m_settings(settings)
    , m_expectedBlocks(settings.expectedBlockLifetime, 4096)
{
    m_blockIndex.reset(m_incarnation, 0);
}

std::int64_t BenchEngine::cachedBlocks(const std::vector<std::uint64_t> &blocks) const
{
    std::int64_t count = 0;
    for (const std::uint64_t block : blocks) {
        if (m_blocks.count(block) == 0) {
            break;
        }
        ++count;
    }
    return count;
}

std::int64_t BenchEngine::estimatedCachedBlocks(const std::vector<std::uint64_t> &blocks) const
{
    return static_cast<std::int64_t>(cachedOrExpectedPrefix(m_blockIndex, m_expectedBlocks, blocks, m_scheduler.now()));
}

bool BenchEngine::hasBlock(std::uint64_t block) const
{
    return m_blocks.count(block) > 0;
}

std::int64_t BenchEngine::queuedTokens(const std::string &account) const
{
    const Duration remaining = m_isPrefilling ? m_prefillEnd - m_scheduler.now() : Duration::zero();
    return m_queue.tokensAhead(account) + static_cast<std::int64_t>(toSeconds(remaining) * m_settings.prefillTokensPerSecond);
}

bool BenchEngine::isUp() const
{
    return m_isUp;
}

std::int64_t BenchEngine::uncachedTokens(const EngineWork &work) const
{
    return work.promptTokens - estimatedCachedBlocks(work.blocks) * blockTokens;
}

void BenchEngine::submit(EngineWork work)
{
    if (!m_isUp) {
        const std::function<void()> onCrash = work.onCrash;
        m_scheduler.scheduleAfter(std::chrono::milliseconds(1), onCrash);
        return;
    }
    m_queue.push(FairQueue::Item{work.attempt, work.account, uncachedTokens(work)});
    m_expectedBlocks.add(work.blocks, m_scheduler.now());
    m_pendingWork[work.attempt] = std::move(work);
    startNext();
}

void BenchEngine::startNext()
{
    if (m_isPrefilling || !m_isUp) {
        return;
    }
    const std::optional<FairQueue::Item> next = m_queue.pop();
    if (!next.has_value()) {
        return;
    }
    const EngineWork work = m_pendingWork[next->attempt];
    const std::int64_t cached = cachedBlocks(work.blocks);
    const double slowdown = 1 - std::min(maxDecodeShare, m_settings.decodeShare * static_cast<double>(m_decoding));
    const double tokens = static_cast<double>(work.promptTokens - cached * blockTokens);
    const Duration prefillTime = fromSeconds(tokens / (m_settings.prefillTokensPerSecond * slowdown));
    m_isPrefilling = true;
    m_prefillEnd = m_scheduler.now() + prefillTime;
    const std::int64_t incarnation = m_incarnation;
    m_scheduler.scheduleAfter(prefillTime, [this, work, cached, incarnation]() {
        if (incarnation == m_incarnation) {
            finishPrefill(work, cached);
        }
    });
}

void BenchEngine::finishPrefill(const EngineWork &work, std::int64_t cachedBlocks)
{
    m_isPrefilling = false;
    m_pendingWork.erase(work.attempt);
    touchBlocks(work.blocks);
    ++m_decoding;
    const std::int64_t incarnation = m_incarnation;
    m_scheduler.scheduleAfter(m_settings.timePerToken * work.outputTokens, [this, incarnation]() {
        if (incarnation == m_incarnation) {
            --m_decoding;
        }
    });
    work.onFirstToken(cachedBlocks);
    startNext();
}

void BenchEngine::touchBlocks(const std::vector<std::uint64_t> &blocks)
{
    std::vector<std::uint64_t> stored;
    // Touch the last block first, so that a prefix is evicted after the blocks that follow it.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        const auto found = m_blocks.find(*it);
        if (found != m_blocks.end()) {
            m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second);
            continue;
        }
        m_blocks[*it] = m_lruOrder.insert(m_lruOrder.end(), *it);
        stored.push_back(*it);
    }
    publishEvent(true, stored);
    std::vector<std::uint64_t> removed;
    while (m_lruOrder.size() > m_settings.cacheBlocks) {
        removed.push_back(m_lruOrder.front());
        m_blocks.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
    publishEvent(false, removed);
}

void BenchEngine::publishEvent(bool isStored, const std::vector<std::uint64_t> &blocks)
{
    if (blocks.empty()) {
        return;
    }
    const std::int64_t sequence = m_sequence++;
    const std::int64_t incarnation = m_incarnation;
    if (m_scheduler.randomBool(m_settings.eventLossRate)) {
        return;
    }
    // The delay is the same for all events, as they arrive in order on one connection.
    m_scheduler.scheduleAfter(m_settings.eventDelay, [this, isStored, incarnation, sequence, blocks]() {
        if (isStored) {
            m_blockIndex.addBlocks(incarnation, sequence, blocks);
        } else {
            m_blockIndex.removeBlocks(incarnation, sequence, blocks);
        }
    });
}

void BenchEngine::crash(Duration downtime)
{
    ++m_incarnation;
    m_sequence = 0;
    m_blockIndex.reset(m_incarnation, 0);
    m_expectedBlocks.clear();
    m_blocks.clear();
    m_lruOrder.clear();
    m_decoding = 0;
    m_isPrefilling = false;
    m_isUp = false;
    m_queue = FairQueue();
    const std::map<AttemptId, EngineWork> lostWork = std::move(m_pendingWork);
    m_pendingWork.clear();
    for (const std::pair<const AttemptId, EngineWork> &entry : lostWork) {
        m_scheduler.scheduleAfter(std::chrono::milliseconds(1), entry.second.onCrash);
    }
    m_scheduler.scheduleAfter(downtime, [this]() {
        m_isUp = true;
    });
}

}
