#include "core/schemacheck.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace citronspar
{

std::optional<std::string> findSchemaError(const nlohmann::json &schema, const nlohmann::json &document)
{
    valijson::Schema parsedSchema;
    valijson::SchemaParser parser;
    const valijson::adapters::NlohmannJsonAdapter schemaAdapter(schema);
    parser.populateSchema(schemaAdapter, parsedSchema);
    valijson::Validator validator;
    const valijson::adapters::NlohmannJsonAdapter documentAdapter(document);
    valijson::ValidationResults results;
    if (validator.validate(parsedSchema, documentAdapter, &results)) {
        return std::nullopt;
    }
    // Errors are listed from the outermost to the innermost element; the innermost is the most specific.
    std::string text;
    valijson::ValidationResults::Error error;
    std::size_t depth = 0;
    while (results.popError(error)) {
        std::string path;
        for (const std::string &part : error.context) {
            path += part;
        }
        if (text.empty() || error.context.size() > depth) {
            text = path + ": " + error.description;
            depth = error.context.size();
        }
    }
    return text;
}

}
