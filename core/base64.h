#pragma once

#include <string>

namespace citronspar
{

/** Encodes @p bytes as base64 (RFC 4648). */
std::string encodeBase64(const std::string &bytes);

/** Decodes base64. Returns an empty string if @p text is not valid base64. */
std::string decodeBase64(const std::string &text);

}
