#include "tests/soak/faultproxy.h"

#include <utility>

namespace citronspar::soak
{

namespace
{

constexpr Duration forwardDelay = std::chrono::milliseconds(120);

}

FaultProxy::FaultProxy(Loop &loop, const SocketAddress &listen, const SocketAddress &target)
    : m_loop(loop)
    , m_target(target)
    , m_listener(loop, [this](int descriptor) {
        accept(descriptor);
    })
{
    m_listener.open(listen);
}

void FaultProxy::accept(int descriptor)
{
    const ConnectionId id = ++m_lastConnectionId;
    const auto handlersFor = [this, id](bool isToServer) {
        TcpSocket::Handlers handlers;
        handlers.onData = [this, id, isToServer](std::string_view data) {
            forward(id, isToServer, data);
        };
        handlers.onEnd = [this, id](SocketCloseReason) {
            closeConnection(id, false);
        };
        return handlers;
    };
    Connection &connection = m_connections[id];
    connection.client = std::make_unique<TcpSocket>(m_loop, handlersFor(true));
    connection.server = std::make_unique<TcpSocket>(m_loop, handlersFor(false));
    const bool isOpen = connection.client->adopt(descriptor) && m_mode != Mode::Reset && connection.server->connect(m_target);
    if (!isOpen) {
        closeConnection(id, true);
    }
}

void FaultProxy::forward(ConnectionId id, bool isToServer, std::string_view data)
{
    const bool isDropped = m_mode == Mode::DropBoth || m_mode == (isToServer ? Mode::DropToServer : Mode::DropToClient);
    if (isDropped) {
        return;
    }
    if (m_mode != Mode::Delay) {
        deliver(id, isToServer, std::string(data));
        return;
    }
    m_loop.timers().subscribeOnce(forwardDelay, [this, id, isToServer, delayed = std::string(data)](TimePoint) {
        deliver(id, isToServer, delayed);
    });
}

void FaultProxy::deliver(ConnectionId id, bool isToServer, const std::string &data)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        (isToServer ? found->second.server : found->second.client)->write(data);
    }
}

void FaultProxy::closeConnection(ConnectionId id, bool isReset)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const std::shared_ptr<Connection> connection = std::make_shared<Connection>(std::move(found->second));
    m_connections.erase(found);
    // A socket must not be destroyed within a handler of the other socket, so both are closed from a timer.
    m_loop.timers().subscribeOnce(Duration::zero(), [connection, isReset](TimePoint) {
        for (const std::unique_ptr<TcpSocket> &socket : {std::ref(connection->client), std::ref(connection->server)}) {
            if (isReset) {
                socket->abort();
            } else {
                socket->close();
            }
        }
    });
}

void FaultProxy::setMode(Mode mode)
{
    const bool wasDropping = m_mode == Mode::DropToServer || m_mode == Mode::DropToClient || m_mode == Mode::DropBoth;
    m_mode = mode;
    // TCP never loses bytes within a connection, so connections whose bytes were discarded are reset.
    if (mode != Mode::Reset && !wasDropping) {
        return;
    }
    while (!m_connections.empty()) {
        closeConnection(m_connections.begin()->first, true);
    }
}

}
