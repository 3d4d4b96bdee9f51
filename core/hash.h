#pragma once

#include <cstdint>
#include <string_view>

namespace citronspar
{

/** A 64-bit hash of @p bytes that is the same on all VMs. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed);

/** Combines two hashes into one. The result depends on their order. */
std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second);

}
