#include "servers/expectedblocks.h"

namespace citronspar
{

ExpectedBlocks::ExpectedBlocks(Duration life, std::size_t capacity)
    : m_life(life)
    , m_capacity(capacity)
{
}

void ExpectedBlocks::add(const std::vector<std::uint64_t> &blocks, TimePoint now)
{
    const TimePoint until = now + m_life;
    for (const std::uint64_t block : blocks) {
        m_until[block] = until;
        m_order.emplace_back(block, until);
    }
    while (!m_order.empty() && (m_order.size() > m_capacity || m_order.front().second < now)) {
        const auto found = m_until.find(m_order.front().first);
        // A block that was added again since has a later entry of its own.
        if (found != m_until.end() && found->second == m_order.front().second) {
            m_until.erase(found);
        }
        m_order.pop_front();
    }
}

void ExpectedBlocks::clear()
{
    m_until.clear();
    m_order.clear();
}

bool ExpectedBlocks::has(std::uint64_t block, TimePoint now) const
{
    const auto found = m_until.find(block);
    return found != m_until.end() && found->second >= now;
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
