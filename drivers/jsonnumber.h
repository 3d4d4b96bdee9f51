#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace citronspar
{

/** The integer @p value; nullopt if it is of another type or out of range. */
std::optional<std::int64_t> integerOf(const nlohmann::json &value);

/** The integer in the field @p name of @p object; nullopt if it is missing, of another type or outside of [@p low, @p high]. */
std::optional<std::int64_t> integerField(const nlohmann::json &object, const char *name, std::int64_t low, std::int64_t high);

}
