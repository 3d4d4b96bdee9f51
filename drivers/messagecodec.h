#pragma once

#include <peer_types.h>

#include <optional>
#include <string>

namespace citronspar
{

/** Encodes an envelope with Thrift's compact protocol. */
std::string encodeEnvelope(const wire::Envelope &envelope);

/** Decodes an envelope; nothing when @p bytes are not one. */
std::optional<wire::Envelope> decodeEnvelope(const std::string &bytes);

}
