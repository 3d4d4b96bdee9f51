#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace citronspar
{

/**
 * Validates @p document against a JSON schema (draft 7).
 *
 * @return the first of the most deeply nested errors with its path, or nullopt if the document is valid
 */
std::optional<std::string> findSchemaError(const nlohmann::json &schema, const nlohmann::json &document);

}
