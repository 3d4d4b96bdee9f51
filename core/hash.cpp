#include "core/hash.h"

#include <xxhash.h>

namespace citronspar
{

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second)
{
    return XXH3_64bits_withSeed(&second, sizeof(second), first);
}

}
