#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** Everything that cached state must agree on besides the prompt itself. */
struct ChainScope
{
    std::string account;
    std::string model;
    std::string adapter;
    std::string weights;
};

/**
 * The hashes that name a prompt's prefixes. Each hash covers the scope and
 * the whole prompt up to its place, so equal hashes mean an equal prefix of
 * the same client account on the same weights.
 */
struct PromptChain
{
    /** One hash for each full piece of the prompt. */
    std::vector<std::uint64_t> blocks;
    /** One hash for the prompt up to the end of each message. */
    std::vector<std::uint64_t> levels;
    std::int64_t promptTokens = 0;
};

/** The seed of all hashes of @p scope. */
std::uint64_t scopeSeed(const ChainScope &scope);

/**
 * Builds the chain of a prompt.
 * @param messages the texts in the order in which the engine reads them
 * @param pieceBytes the size of a piece; the last, partial piece has no hash
 * @param bytesPerToken the average size of a token, for the estimate of the prompt's tokens
 */
PromptChain buildPromptChain(const ChainScope &scope, const std::vector<std::string> &messages, std::size_t pieceBytes,
                             double bytesPerToken);

/**
 * The hash that decides where a prompt's home is: that of the middle level,
 * which is shared widely enough to gain from the cache and narrowly enough to
 * spread the load.
 */
std::uint64_t affinityHash(const PromptChain &chain);

}
