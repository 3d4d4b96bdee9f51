#pragma once

#include "drivers/tcpsocket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace citronspar::soak
{

/** A TCP proxy on loopback that injects faults into the connections it forwards. */
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        /** Bytes are forwarded after a fixed delay. */
        Delay,
        /** Open and new connections are reset. */
        Reset,
        /** Bytes from the client are discarded. */
        DropToServer,
        /** Bytes from the server are discarded: requests are executed, but their responses are lost. */
        DropToClient,
        /** Bytes in both directions are discarded. */
        DropBoth,
    };

private:
    using ConnectionId = std::uint64_t;

    struct Connection
    {
        std::unique_ptr<TcpSocket> client;
        std::unique_ptr<TcpSocket> server;
    };

    Loop &m_loop;
    SocketAddress m_target;
    TcpListener m_listener;
    std::map<ConnectionId, Connection> m_connections;
    ConnectionId m_lastConnectionId = 0;
    Mode m_mode = Mode::Pass;

    void accept(int descriptor);
    void forward(ConnectionId id, bool isToServer, std::string_view data);
    void deliver(ConnectionId id, bool isToServer, const std::string &data);
    void closeConnection(ConnectionId id, bool isReset);

public:
    FaultProxy(Loop &loop, const SocketAddress &listen, const SocketAddress &target);

    void setMode(Mode mode);
};

}
