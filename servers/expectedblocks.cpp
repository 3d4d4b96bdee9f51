#include "servers/expectedblocks.h"

namespace citronspar
{

ExpectedBlocks::ExpectedBlocks(Duration lifetime, std::size_t capacity)
    : m_lifetime(lifetime)
    , m_capacity(capacity)
{
}

void ExpectedBlocks::add(const std::vector<std::uint64_t> &blocks, TimePoint now)
{
    const TimePoint expiresAt = now + m_lifetime;
    for (const std::uint64_t block : blocks) {
        m_expiresAt[block] = expiresAt;
        m_expiryOrder.emplace_back(block, expiresAt);
    }
    while (!m_expiryOrder.empty() && (m_expiryOrder.size() > m_capacity || m_expiryOrder.front().second < now)) {
        const auto found = m_expiresAt.find(m_expiryOrder.front().first);
        // A block that was added again has a later entry in the queue.
        if (found != m_expiresAt.end() && found->second == m_expiryOrder.front().second) {
            m_expiresAt.erase(found);
        }
        m_expiryOrder.pop_front();
    }
}

void ExpectedBlocks::clear()
{
    m_expiresAt.clear();
    m_expiryOrder.clear();
}

bool ExpectedBlocks::has(std::uint64_t block, TimePoint now) const
{
    const auto found = m_expiresAt.find(block);
    return found != m_expiresAt.end() && found->second >= now;
}

std::size_t cachedOrExpectedPrefix(const BlockIndex &index, const ExpectedBlocks &expected, const std::vector<std::uint64_t> &chain,
                                   TimePoint now)
{
    std::size_t count = 0;
    while (count < chain.size() && (index.has(chain[count]) || expected.has(chain[count], now))) {
        ++count;
    }
    return count;
}

}
