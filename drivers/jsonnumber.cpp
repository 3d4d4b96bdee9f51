#include "drivers/jsonnumber.h"

#include <limits>

namespace citronspar
{

std::optional<std::int64_t> integerOf(const nlohmann::json &value)
{
    // Integers past 64 bits are parsed as floating-point numbers.
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    const std::uint64_t largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > largest) {
        return std::nullopt;
    }
    return value.get<std::int64_t>();
}

std::optional<std::int64_t> integerField(const nlohmann::json &object, const char *name, std::int64_t low, std::int64_t high)
{
    const auto found = object.find(name);
    const std::optional<std::int64_t> value = found == object.end() ? std::nullopt : integerOf(*found);
    return value.has_value() && *value >= low && *value <= high ? value : std::nullopt;
}

}
