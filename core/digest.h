#pragma once

#include <string>

namespace citronspar
{

/** The SHA-256 digest of @p text (FIPS 180-4) in lower-case hexadecimal digits. */
std::string sha256Hex(const std::string &text);

}
