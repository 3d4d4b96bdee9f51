#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace citronspar
{

/** Range of seeds for a property test. CITRONSPAR_SEEDS overrides the count, CITRONSPAR_SEED selects a single seed to replay. */
struct Seeds
{
    std::uint64_t first = 1;
    std::uint64_t last = 300;

    explicit Seeds(std::uint64_t count)
        : last(count)
    {
        const char *countText = std::getenv("CITRONSPAR_SEEDS");
        const char *seedText = std::getenv("CITRONSPAR_SEED");
        if (countText != nullptr) {
            last = std::strtoull(countText, nullptr, 10);
        }
        if (seedText != nullptr) {
            first = std::strtoull(seedText, nullptr, 10);
            last = first;
        }
    }
};

/** Checks @p holdsForSeed for all seeds. Returns the first seed for which it is false, or 0 if it holds for all. */
template<class Property> std::uint64_t findFailingSeed(const Seeds &seeds, const Property &holdsForSeed)
{
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        if (!holdsForSeed(seed)) {
            return seed;
        }
    }
    return 0;
}

}
