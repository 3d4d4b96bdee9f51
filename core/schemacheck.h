#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace citronspar
{

/**
 * Checks @p document against a JSON schema (draft 7).
 *
 * @return the first error with its path; nothing when the document is valid
 */
std::optional<std::string> findSchemaError(const nlohmann::json &schema, const nlohmann::json &document);

}
