#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace citronspar
{

/** The seeds that a property test tries: CITRONSPAR_SEEDS sets how many, CITRONSPAR_SEED replays one. */
struct Seeds
{
    std::uint64_t first = 1;
    std::uint64_t last = 300;

    explicit Seeds(std::uint64_t count)
        : last(count)
    {
        const char *many = std::getenv("CITRONSPAR_SEEDS");
        const char *one = std::getenv("CITRONSPAR_SEED");
        if (many != nullptr) {
            last = std::strtoull(many, nullptr, 10);
        }
        if (one != nullptr) {
            first = std::strtoull(one, nullptr, 10);
            last = first;
        }
    }
};

/** Runs @p isHolding for all seeds; returns the first seed for which it does not hold, or 0. */
template<class Property> std::uint64_t findFailingSeed(const Seeds &seeds, const Property &isHolding)
{
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        if (!isHolding(seed)) {
            return seed;
        }
    }
    return 0;
}

}
