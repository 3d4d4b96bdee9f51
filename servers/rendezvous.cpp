#include "servers/rendezvous.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronspar
{

std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<std::uint64_t> &idHashes)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    weights.reserve(idHashes.size());
    for (std::size_t i = 0; i < idHashes.size(); ++i) {
        weights.emplace_back(hashCombine(key, idHashes[i]), i);
    }
    std::sort(weights.begin(), weights.end(), std::greater<std::pair<std::uint64_t, std::size_t>>());
    std::vector<std::size_t> order;
    order.reserve(weights.size());
    for (const std::pair<std::uint64_t, std::size_t> &weight : weights) {
        order.push_back(weight.second);
    }
    return order;
}

}
