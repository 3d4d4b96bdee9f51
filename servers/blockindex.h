#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace citronspar
{

/**
 * The blocks cached by one engine, according to its cache events. The index
 * may miss cached blocks but lists none that are not cached: a gap in the
 * sequence of events or a new incarnation of the engine clears it.
 */
class BlockIndex
{
private:
    std::int64_t m_incarnation = 0;
    std::int64_t m_nextSequence = 0;
    std::unordered_set<std::uint64_t> m_blocks;
    std::uint64_t m_gaps = 0;

    /** Returns whether an event is to be applied; clears the index if events before it are missing. */
    bool acceptEvent(std::int64_t incarnation, std::int64_t sequence);

public:
    /** Clears the index for a new @p incarnation of the engine, whose next event is @p nextSequence. */
    void reset(std::int64_t incarnation, std::int64_t nextSequence);

    /** Applies an event about stored blocks. Events with an old sequence number or of another incarnation are ignored. */
    void addBlocks(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks);

    /** Applies an event about evicted blocks. Ignores the same events as addBlocks(). */
    void removeBlocks(std::int64_t incarnation, std::int64_t sequence, const std::vector<std::uint64_t> &blocks);

    /** Returns the number of leading blocks of @p chain that are cached. */
    std::size_t cachedPrefix(const std::vector<std::uint64_t> &chain) const;

    bool has(std::uint64_t block) const;

    std::int64_t incarnation() const;
    std::size_t size() const;

    /** The number of gaps found in the sequence of events. */
    std::uint64_t gaps() const;
};

}
