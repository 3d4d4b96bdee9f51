#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace citronspar
{

/**
 * The blocks that one engine has cached, as its events tell. The index only
 * ever claims less than the engine holds: a gap in the events or another
 * incarnation of the engine empties it.
 */
class BlockIndex
{
private:
    std::int64_t m_incarnation = 0;
    std::int64_t m_nextSequence = 0;
    std::unordered_set<std::uint64_t> m_blocks;
    std::uint64_t m_gaps = 0;

    bool admit(std::int64_t incarnation, std::int64_t sequence);

public:
    /** The engine runs as @p incarnation now and has nothing cached. */
    void reset(std::int64_t incarnation, std::int64_t nextSequence);

    /** The engine has stored @p blocks. Events with an old sequence number or of another incarnation are dropped. */
    void stored(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks);

    /** The engine has evicted @p blocks. */
    void removed(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks);

    /** The number of leading blocks of @p chain that are cached. */
    std::size_t cachedPrefix(const std::vector<std::uint64_t> &chain) const;

    bool has(std::uint64_t block) const;

    std::int64_t incarnation() const;
    std::size_t size() const;

    /** How often events were missing. */
    std::uint64_t gaps() const;
};

}
