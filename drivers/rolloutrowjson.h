#pragma once

#include "servers/rollouts/rollout.h"

#include <optional>
#include <string>

namespace citronspar
{

/** The name of a phase in rows, logs and metrics. */
const char *rolloutPhaseName(RolloutPhase phase);

/** The text of the row that the entry and endpoint daemons share about the last order of a service. */
std::string encodeRolloutRow(const RolloutRow &row);

/** Returns nullopt if the text is malformed. */
std::optional<RolloutRow> decodeRolloutRow(const std::string &text);

}
