#pragma once

#include "core/time.h"
#include "servers/blockindex.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * The blocks of requests that were recently dispatched to an engine. The
 * engine's cache events arrive late; until then the endpoint daemon assumes
 * that these blocks are cached, so that requests with the same prefix are still
 * routed to this engine.
 */
class ExpectedBlocks
{
private:
    Duration m_lifetime;
    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, TimePoint> m_expiresAt;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_expiryOrder;

public:
    /**
     * @param lifetime how long a block is assumed to be cached
     * @param capacity the maximum number of entries; the oldest are dropped first
     */
    ExpectedBlocks(Duration lifetime, std::size_t capacity);

    /** Records the dispatch of a request with @p blocks. */
    void add(const std::vector<std::uint64_t> &blocks, TimePoint now);

    /** Drops all blocks, after the engine has restarted or changed its weights. */
    void clear();

    bool has(std::uint64_t block, TimePoint now) const;
};

/** Returns the number of leading blocks of @p chain that are known or expected to be cached. */
std::size_t cachedOrExpectedPrefix(const BlockIndex &index, const ExpectedBlocks &expected, const std::vector<std::uint64_t> &chain,
                                   TimePoint now);

}
