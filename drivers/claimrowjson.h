#pragma once

#include "drivers/tableclient.h"
#include "servers/claimrow.h"

#include <nlohmann/json.hpp>

namespace citronspar
{

/** The form in which the table keeps a claim. */
nlohmann::json claimRowToJson(const ClaimRow &row);

/** Reads a claim from its row; revision 0 when there is none. */
StoredClaim storedClaimFromRow(const TableRow &row);

}
