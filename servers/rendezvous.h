#pragma once

#include <cstdint>
#include <vector>

namespace citronspar
{

/**
 * Returns the indices into @p idHashes in descending order of their rendezvous
 * weight for @p key. All daemons compute the same order without shared state,
 * and removing one id keeps the relative order of the others.
 */
std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<std::uint64_t> &idHashes);

}
