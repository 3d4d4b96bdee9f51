#pragma once

#include <cstdint>
#include <string>

namespace citronspar
{

/** The KV cache transfers of a request. */
struct TransferPlan
{
    /** The engine to fetch from; empty if the request does not fetch from an engine. */
    std::string fetchFromEngine;
    /** Address of the KV cache store to fetch from; empty if the request does not fetch from one. */
    std::string fetchFromStore;
    /** Address of the KV cache store that the prompt is saved to; empty if it is not saved. */
    std::string saveToStore;
    /** How many of the prompt's shared tokens the fetch most likely brings. */
    std::int64_t expectedTokens = 0;
};

}
