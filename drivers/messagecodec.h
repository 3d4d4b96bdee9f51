#pragma once

#include <peer_types.h>

#include <optional>
#include <string>

namespace citronspar
{

/** Encodes an envelope with Thrift's compact protocol. */
std::string encodeEnvelope(const wire::Envelope &envelope);

/** Decodes an envelope; returns nullopt if @p bytes are malformed. */
std::optional<wire::Envelope> decodeEnvelope(const std::string &bytes);

}
