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

public:
    /** The state of @p document at @p version; null when the document is not valid. */
    std::shared_ptr<const FleetState> read(std::int64_t version, const nlohmann::json &document);

    /** Why read() last failed, with the path in the document. */
    const std::string &lastReason() const;
};

}
