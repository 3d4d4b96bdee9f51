#include "servers/promptchain.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace citronspar
{

namespace
{

constexpr std::size_t maxAffinityLevel = 2;

}

std::uint64_t scopeSeed(const ChainScope &scope)
{
    std::uint64_t seed = hashBytes(scope.account, 1);
    seed = hashCombine(seed, hashBytes(scope.model, 2));
    seed = hashCombine(seed, hashBytes(scope.adapter, 3));
    return hashCombine(seed, hashBytes(scope.weights, 4));
}

PromptChain buildPromptChain(const ChainScope &scope, const std::vector<std::string> &messages, std::size_t pieceBytes,
                             double bytesPerToken)
{
    PromptChain chain;
    const std::uint64_t seed = scopeSeed(scope);
    std::string text;
    std::uint64_t levelHash = seed;
    for (const std::string &message : messages) {
        levelHash = hashCombine(levelHash, hashBytes(message, 0));
        chain.levels.push_back(levelHash);
        text += message;
    }
    std::uint64_t blockHash = seed;
    const std::string_view view = text;
    for (std::size_t start = 0; start + pieceBytes <= view.size(); start += pieceBytes) {
        blockHash = hashCombine(blockHash, hashBytes(view.substr(start, pieceBytes), 0));
        chain.blocks.push_back(blockHash);
    }
    chain.promptTokens = static_cast<std::int64_t>(std::ceil(static_cast<double>(text.size()) / bytesPerToken));
    return chain;
}

std::uint64_t affinityHash(const PromptChain &chain)
{
    if (chain.levels.empty()) {
        return 0;
    }
    // The last level includes the request's own message, which no other prompt shares.
    const std::size_t sharedLevels = std::max<std::size_t>(chain.levels.size() - 1, 1);
    return chain.levels[std::min(sharedLevels, maxAffinityLevel) - 1];
}

}
