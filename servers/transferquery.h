#pragma once

#include "servers/prefixdirectory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** The inputs to planning a request's KV cache transfers. The template is the first part of the shared prefix. */
struct TransferQuery
{
    /** The engine that the request is sent to. */
    std::string engine;
    /** Whether it is the home of the shared prefix, where most other requests with the prefix were sent. */
    bool isHome = false;
    /** Other engines that most likely have the shared prefix, and its first part, cached; may be empty. */
    std::string source;
    std::string templateSource;
    /** How many prefixes (the first part, all shared parts) the engine and the source have cached; negative if unknown. */
    int knownPrefixes = -1;
    int sourcePrefixes = -1;
    /** What the prefix's directory knows about it, and whether it has answered. */
    PrefixRecord record;
    bool isRecordKnown = false;
    /** The cache salt. */
    std::string salt;
    /** Hashes of the shared prefix and of its first part. */
    std::uint64_t prefixHash = 0;
    std::uint64_t templateHash = 0;
    /** The ids of all parts that other requests share, and their total number of tokens. */
    std::vector<std::string> sharedParts;
    std::int64_t sharedTokens = 0;
    /** The number of tokens of the first part. */
    std::int64_t templateTokens = 0;
    /** The number of tokens of the part that other requests do not share. */
    std::int64_t ownTokens = 0;
    /** KV cache size of a token. */
    double bytesPerToken = 0;

    /** Returns the id of the first part only; empty if there are no shared parts. */
    std::vector<std::string> templateParts() const;
};

}
