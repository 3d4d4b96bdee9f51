#pragma once

#include <cstdint>
#include <vector>

namespace citronspar
{

/**
 * The places of @p idHashes, ordered by their rendezvous weight for @p key.
 * Each daemon comes to the same order without state, and the loss of one
 * place leaves the order of the others as it is.
 */
std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<std::uint64_t> &idHashes);

}
