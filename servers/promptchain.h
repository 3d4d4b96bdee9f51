#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** The properties besides the prompt that must match for cached state to be reused. */
struct ChainScope
{
    std::string account;
    std::string model;
    std::string adapter;
    std::string weights;
};

/**
 * The hashes that identify a prompt's prefixes. Each hash covers the scope and
 * the whole prompt up to its position, so equal hashes mean an equal prefix of
 * the same client account on the same weights.
 */
struct PromptChain
{
    /** One hash for each complete block of pieceBytes bytes. */
    std::vector<std::uint64_t> blocks;
    /** One hash for the prefix up to the end of each message. */
    std::vector<std::uint64_t> levels;
    std::int64_t promptTokens = 0;
};

/** Returns the seed of all hashes in @p scope. */
std::uint64_t scopeSeed(const ChainScope &scope);

/**
 * Computes the hash chain of a prompt.
 * @param messages the texts in the order in which the engine processes them
 * @param pieceBytes the block size; a partial last block has no hash
 * @param bytesPerToken the average size of a token, for the estimate of promptTokens
 */
PromptChain buildPromptChain(const ChainScope &scope, const std::vector<std::string> &messages, std::size_t pieceBytes,
                             double bytesPerToken);

/**
 * Returns the hash that determines a prompt's home endpoint; 0 if the prompt has
 * no messages. It is the hash of the second level, which enough prompts share for
 * cache hits, yet few enough that the load is spread. A prompt of fewer than
 * three messages uses its first level.
 */
std::uint64_t affinityHash(const PromptChain &chain);

}
