#pragma once

#include "drivers/tableclient.h"
#include "servers/claimrow.h"

#include <nlohmann/json.hpp>

namespace citronspar
{

/** Serializes a claim for the table service. */
nlohmann::json claimRowToJson(const ClaimRow &row);

/** Deserializes a claim from its row; the revision is 0 if there is none. */
StoredClaim storedClaimFromRow(const TableRow &row);

}
