#pragma once

#include "servers/crashrow.h"

#include <optional>
#include <string>

namespace citronspar
{

/**
 * Serializes the value of a crash row. Times are stored by the clock of the store.
 * @param clockOffset the clock of this process minus that of the store
 */
std::string encodeCrashRow(const CrashRow &row, Duration clockOffset);

/** Parses a crash row; nullopt if it is malformed. */
std::optional<CrashRow> decodeCrashRow(const std::string &key, const std::string &value, Duration clockOffset);

}
