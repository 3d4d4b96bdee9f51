#pragma once

#include "servers/fleetstate.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace citronspar
{

/** Builds a fleet state from its JSON document, which it checks against a schema. */
class FleetStateReader
{
private:
    std::string m_lastReason;

    std::shared_ptr<const FleetState> build(std::int64_t version, const nlohmann::json &document);

public:
    /** The state of @p document at @p version; null when the document is not valid. */
    std::shared_ptr<const FleetState> read(std::int64_t version, const nlohmann::json &document);

    /**
     * The state of a document that another daemon of the fleet has checked. It
     * is read without the schema, which takes most of the time of read().
     */
    std::shared_ptr<const FleetState> readChecked(std::int64_t version, const nlohmann::json &document);

    /** Why reading last failed, with the path in the document. */
    const std::string &lastReason() const;
};

}
