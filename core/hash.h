#pragma once

#include <cstdint>
#include <string_view>

namespace citronspar
{

/** A 64-bit hash of @p bytes; the same on every VM. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed);

/** A 64-bit hash of two hashes; the order counts. */
std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second);

}
