#include "drivers/messagecodec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace citronspar
{

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string encodeEnvelope(const wire::Envelope &envelope)
{
    const std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    envelope.write(&protocol);
    return buffer->getBufferAsString();
}

std::optional<wire::Envelope> decodeEnvelope(const std::string &bytes)
{
    // An OBSERVE buffer never writes to the bytes, so casting away const is safe.
    std::uint8_t *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const std::shared_ptr<TMemoryBuffer> buffer
        = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    TCompactProtocol protocol(buffer);
    wire::Envelope envelope;
    try {
        envelope.read(&protocol);
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
    return envelope;
}

}
