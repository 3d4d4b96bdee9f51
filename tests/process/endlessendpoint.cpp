#include "tests/process/endlessendpoint.h"

#include <algorithm>
#include <utility>

namespace citronspar::crowds
{

namespace
{

// Sent on one connection in a turn, so that the responses grow side by side.
constexpr std::size_t turnBytes = 32 * 1024;

}

EndlessEndpoint::EndlessEndpoint(Loop &loop, const SocketAddress &address, EndlessBytes bytes)
    : m_bytes(std::move(bytes))
    , m_loop(loop)
    , m_listener(loop, [this](int descriptor) {
        accept(descriptor);
    })
{
    m_listener.open(address);
}

void EndlessEndpoint::accept(int descriptor)
{
    const std::uint64_t id = ++m_lastId;
    Connection &connection = m_connections[id];
    TcpSocket::Handlers handlers;
    handlers.onData = [this, id](std::string_view data) {
        Connection &current = m_connections.at(id);
        current.request.append(data);
        current.isResponding = current.isResponding || current.request.find("\r\n\r\n") != std::string::npos;
    };
    handlers.onEnd = [this, id](SocketCloseReason) {
        m_connections.at(id).isClosed = true;
    };
    connection.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
    connection.socket->adopt(descriptor);
}

bool EndlessEndpoint::sendMore()
{
    bool hasSent = false;
    for (std::pair<const std::uint64_t, Connection> &entry : m_connections) {
        Connection &connection = entry.second;
        const bool isFinished = connection.sentBytes >= m_bytes.maxBytes;
        if (!connection.isResponding || connection.isClosed || isFinished || connection.socket->bufferedBytes() > 0) {
            continue;
        }
        std::string turn = connection.sentBytes == 0 ? m_bytes.start : std::string();
        while (turn.size() < turnBytes && connection.sentBytes + turn.size() < m_bytes.maxBytes) {
            turn += m_bytes.block;
        }
        connection.sentBytes += turn.size();
        connection.socket->write(turn);
        hasSent = true;
    }
    return hasSent;
}

std::size_t EndlessEndpoint::responseCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const std::pair<const std::uint64_t, Connection> &entry) {
            return entry.second.isResponding;
        }));
}

std::size_t EndlessEndpoint::closedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const std::pair<const std::uint64_t, Connection> &entry) {
            return entry.second.isResponding && entry.second.isClosed;
        }));
}

}
