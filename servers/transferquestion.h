#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** What moving a prompt's KV cache depends on. */
struct TransferQuestion
{
    /** The engine that gets the request. */
    std::string engine;
    /** Whether it is the home of the shared prefix, where other requests have mostly had it read. */
    bool isHome = false;
    /** Other engines that most likely keep the shared prefix, and its first part; may be empty. */
    std::string keeper;
    std::string templateKeeper;
    /** How many prefixes, the first part and all shared parts, the engine and the keeper have; negative when that isn't known. */
    int knownPrefixes = -1;
    int keeperPrefixes = -1;
    std::string salt;
    std::uint64_t prefixHash = 0;
    std::uint64_t templateHash = 0;
    /** The ids of all parts that other requests share, and their tokens. */
    std::vector<std::string> sharedParts;
    std::int64_t sharedTokens = 0;
    /** Tokens of the first part. */
    std::int64_t templateTokens = 0;
    std::int64_t ownTokens = 0;
    double bytesPerToken = 0;

    /** The first part alone. */
    std::vector<std::string> templateParts() const;
};

}
