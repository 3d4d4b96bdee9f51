#include "core/longbuffer.h"

namespace citronspar
{

namespace
{

// As much as one read from a socket; most buffers are never longer.
constexpr std::size_t shortBytes = 16 * 1024;

// The threshold that main() sets.
constexpr std::size_t mappedBytes = 128 * 1024;

}

void appendLong(std::string &buffer, std::string_view data)
{
    const std::size_t size = buffer.size() + data.size();
    if (size > shortBytes && size > buffer.capacity() && size < mappedBytes) {
        buffer.reserve(mappedBytes);
    }
    buffer.append(data);
}

void releaseLong(std::string &buffer)
{
    std::string().swap(buffer);
}

}
