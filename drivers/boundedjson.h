#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace citronspar
{

/**
 * Parses a document of another system, which may be faulty. A value takes many times its bytes once it is parsed, so a bound on
 * the bytes alone does not bound the memory.
 * @return a discarded value if @p text is malformed, or has more than @p maxValues values and keys
 */
nlohmann::json parseBoundedJson(const std::string &text, std::size_t maxValues);

}
