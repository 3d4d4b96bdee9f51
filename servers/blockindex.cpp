#include "servers/blockindex.h"

namespace citronspar
{

void BlockIndex::reset(std::int64_t incarnation, std::int64_t nextSequence)
{
    m_incarnation = incarnation;
    m_nextSequence = nextSequence;
    m_blocks.clear();
}

bool BlockIndex::acceptEvent(std::int64_t incarnation, std::int64_t sequence)
{
    if (incarnation != m_incarnation || sequence < m_nextSequence) {
        return false;
    }
    if (sequence > m_nextSequence) {
        // A lost event may have been an eviction, so any of the listed blocks may be gone.
        m_blocks.clear();
        ++m_gaps;
    }
    m_nextSequence = sequence + 1;
    return true;
}

void BlockIndex::addBlocks(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks)
{
    if (acceptEvent(incarnation, sequence)) {
        m_blocks.insert(blocks.begin(), blocks.end());
    }
}

void BlockIndex::removeBlocks(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks)
{
    if (!acceptEvent(incarnation, sequence)) {
        return;
    }
    for (const std::uint64_t block : blocks) {
        m_blocks.erase(block);
    }
}

std::size_t BlockIndex::cachedPrefix(const std::vector<std::uint64_t> &chain) const
{
    std::size_t count = 0;
    while (count < chain.size() && m_blocks.count(chain[count]) > 0) {
        ++count;
    }
    return count;
}

bool BlockIndex::has(std::uint64_t block) const
{
    return m_blocks.count(block) > 0;
}

std::int64_t BlockIndex::incarnation() const
{
    return m_incarnation;
}

std::size_t BlockIndex::size() const
{
    return m_blocks.size();
}

std::uint64_t BlockIndex::gaps() const
{
    return m_gaps;
}

}
