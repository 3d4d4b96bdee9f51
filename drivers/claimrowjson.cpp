#include "drivers/claimrowjson.h"

#include "core/base64.h"

#include <array>
#include <string>

namespace citronspar
{

namespace
{

using nlohmann::json;

const std::array<const char *, 4> stateNames = {"claimed", "started", "done", "abandoned"};

ClaimState stateFromName(const std::string &name)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (name == stateNames[i]) {
            return static_cast<ClaimState>(i);
        }
    }
    // An attempt in an unknown state may have run; Started is the most restrictive state.
    return ClaimState::Started;
}

}

json claimRowToJson(const ClaimRow &row)
{
    return json{
        {"attempt", row.attempt.toString()},     {"digest", row.digest}, {"state", stateNames.at(static_cast<std::size_t>(row.state))},
        {"startMark", row.startMark.toString()}, {"status", row.status}, {"contentType", row.contentType},
        {"answer", encodeBase64(row.answer)},
    };
}

StoredClaim storedClaimFromRow(const TableRow &row)
{
    StoredClaim stored;
    if (row.revision == 0 || !row.value.is_object()) {
        return stored;
    }
    stored.revision = row.revision;
    stored.row.attempt = AttemptId::fromString(row.value.value("attempt", std::string())).value_or(AttemptId());
    stored.row.digest = row.value.value("digest", std::uint64_t(0));
    stored.row.state = stateFromName(row.value.value("state", std::string()));
    stored.row.startMark = AttemptId::fromString(row.value.value("startMark", std::string())).value_or(AttemptId());
    stored.row.status = row.value.value("status", 0);
    stored.row.contentType = row.value.value("contentType", std::string());
    stored.row.answer = decodeBase64(row.value.value("answer", std::string()));
    return stored;
}

}
