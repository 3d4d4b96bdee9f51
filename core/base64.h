#pragma once

#include <string>

namespace citronspar
{

/** Encodes any bytes as base64 (RFC 4648). */
std::string encodeBase64(const std::string &bytes);

/** Decodes base64; empty when @p text is not base64. */
std::string decodeBase64(const std::string &text);

}
