#pragma once

#include <cstdint>
#include <optional>

namespace citronspar
{

/**
 * The fencing token of an order-giver, from a row that it has written to the store: versions of rows only grow within one era
 * of the store, so the era comes first.
 * @param era nullopt if the store states none
 */
inline std::int64_t makeFencingToken(std::optional<std::int64_t> era, std::int64_t version)
{
    // Leaves the token exact as a JSON number of 53 bits for two million eras.
    constexpr int versionBits = 32;
    constexpr std::int64_t maxVersion = (std::int64_t(1) << versionBits) - 1;
    return (era.value_or(0) << versionBits) + (version < maxVersion ? version : maxVersion);
}

}
