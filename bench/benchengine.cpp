#include "bench/benchengine.h"

#include "bench/workload.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr double maxDecodeShare = 0.5;

}

BenchEngine::BenchEngine(Schedule &schedule, const EngineSettings &settings)
    : m_schedule(schedule)
    , m_settings(settings)
    , m_expected(settings.expectedFor, 4096)
{
    m_index.reset(m_incarnation, 0);
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

std::int64_t BenchEngine::knownBlocks(const std::vector<std::uint64_t> &blocks) const
{
    return static_cast<std::int64_t>(cachedOrExpectedPrefix(m_index, m_expected, blocks, m_schedule.now()));
}

bool BenchEngine::hasBlock(std::uint64_t block) const
{
    return m_blocks.count(block) > 0;
}

std::int64_t BenchEngine::queuedTokens(const std::string &account) const
{
    const Duration left = m_isPrefilling ? m_prefillEnd - m_schedule.now() : Duration::zero();
    return m_queue.tokensAhead(account) + static_cast<std::int64_t>(toSeconds(left) * m_settings.prefillTokensPerSecond);
}

bool BenchEngine::isUp() const
{
    return m_isUp;
}

std::int64_t BenchEngine::missingTokens(const EngineWork &work) const
{
    return work.promptTokens - knownBlocks(work.blocks) * blockTokens;
}

void BenchEngine::submit(EngineWork work)
{
    if (!m_isUp) {
        const std::function<void()> onCrash = work.onCrash;
        m_schedule.after(std::chrono::milliseconds(1), onCrash);
        return;
    }
    m_queue.push(FairQueue::Item{work.attempt, work.account, missingTokens(work)});
    m_expected.add(work.blocks, m_schedule.now());
    m_work[work.attempt] = std::move(work);
    startNext();
}

void BenchEngine::startNext()
{
    if (m_isPrefilling || !m_isUp) {
        return;
    }
    const std::optional<FairQueue::Item> item = m_queue.pop();
    if (!item.has_value()) {
        return;
    }
    const EngineWork work = m_work[item->attempt];
    const std::int64_t cached = cachedBlocks(work.blocks);
    const double slowdown = 1 - std::min(maxDecodeShare, m_settings.decodeShare * static_cast<double>(m_running));
    const double tokens = static_cast<double>(work.promptTokens - cached * blockTokens);
    const Duration time = fromSeconds(tokens / (m_settings.prefillTokensPerSecond * slowdown));
    m_isPrefilling = true;
    m_prefillEnd = m_schedule.now() + time;
    const std::int64_t incarnation = m_incarnation;
    m_schedule.after(time, [this, work, cached, incarnation]() {
        if (incarnation == m_incarnation) {
            finishPrefill(work, cached);
        }
    });
}

void BenchEngine::finishPrefill(const EngineWork &work, std::int64_t cachedBlocks)
{
    m_isPrefilling = false;
    m_work.erase(work.attempt);
    touch(work.blocks);
    ++m_running;
    const std::int64_t incarnation = m_incarnation;
    m_schedule.after(m_settings.timePerToken * work.outputTokens, [this, incarnation]() {
        if (incarnation == m_incarnation) {
            --m_running;
        }
    });
    work.onFirstToken(cachedBlocks);
    startNext();
}

void BenchEngine::touch(const std::vector<std::uint64_t> &blocks)
{
    std::vector<std::uint64_t> stored;
    // From the last block to the first, so that a prefix outlives what follows it.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        const auto found = m_blocks.find(*it);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.end(), m_order, found->second);
            continue;
        }
        m_blocks[*it] = m_order.insert(m_order.end(), *it);
        stored.push_back(*it);
    }
    publish(true, stored);
    std::vector<std::uint64_t> removed;
    while (m_order.size() > m_settings.cacheBlocks) {
        removed.push_back(m_order.front());
        m_blocks.erase(m_order.front());
        m_order.pop_front();
    }
    publish(false, removed);
}

void BenchEngine::publish(bool isStored, const std::vector<std::uint64_t> &blocks)
{
    if (blocks.empty()) {
        return;
    }
    const std::int64_t sequence = m_sequence++;
    const std::int64_t incarnation = m_incarnation;
    if (m_schedule.chance(m_settings.lostEvents)) {
        return;
    }
    // Events keep their order, as they come on one connection.
    m_schedule.after(m_settings.maxEventDelay, [this, isStored, incarnation, sequence, blocks]() {
        if (isStored) {
            m_index.stored(incarnation, sequence, blocks);
        } else {
            m_index.removed(incarnation, sequence, blocks);
        }
    });
}

void BenchEngine::crash(Duration downTime)
{
    ++m_incarnation;
    m_sequence = 0;
    m_index.reset(m_incarnation, 0);
    m_expected.clear();
    m_blocks.clear();
    m_order.clear();
    m_running = 0;
    m_isPrefilling = false;
    m_isUp = false;
    m_queue = FairQueue();
    const std::map<AttemptId, EngineWork> lost = std::move(m_work);
    m_work.clear();
    for (const std::pair<const AttemptId, EngineWork> &entry : lost) {
        m_schedule.after(std::chrono::milliseconds(1), entry.second.onCrash);
    }
    m_schedule.after(downTime, [this]() {
        m_isUp = true;
    });
}

}
