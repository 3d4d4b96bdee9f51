#pragma once

#include "servers/fleetstate.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace citronspar
{

/** Builds a fleet state from its JSON document and validates the document against a JSON schema. */
class FleetStateReader
{
private:
    std::string m_lastError;

    std::shared_ptr<const FleetState> build(std::int64_t version, const nlohmann::json &document);

public:
    /** Returns the state of @p document at @p version, or nullptr if the document is invalid. */
    std::shared_ptr<const FleetState> read(std::int64_t version, const nlohmann::json &document);

    /**
     * Returns the state of a document that another daemon of the fleet has
     * validated, or nullptr if a required value is missing or has the wrong type.
     * Skips the schema validation, which takes most of the time of read().
     */
    std::shared_ptr<const FleetState> readPrevalidated(std::int64_t version, const nlohmann::json &document);

    /** The error of the last read, with its path in the document if the schema was checked; empty after a success. */
    const std::string &lastError() const;
};

}
