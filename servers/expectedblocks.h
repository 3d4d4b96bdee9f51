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
 * The blocks of requests that were handed to an engine a short time ago. Its
 * events tell of them late; until then the endpoint daemon expects them to be
 * cached, so that requests with the same prefix still meet there.
 */
class ExpectedBlocks
{
private:
    Duration m_life;
    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, TimePoint> m_until;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_order;

public:
    ExpectedBlocks(Duration life, std::size_t capacity);

    /** A request with @p blocks was handed over. */
    void add(const std::vector<std::uint64_t> &blocks, TimePoint now);

    /** The engine has restarted or changed its weights. */
    void clear();

    bool has(std::uint64_t block, TimePoint now) const;
};

/** The number of leading blocks of @p chain that are known or expected to be cached. */
std::size_t cachedOrExpectedPrefix(const BlockIndex &index, const ExpectedBlocks &expected, const std::vector<std::uint64_t> &chain,
                                   TimePoint now);

}
