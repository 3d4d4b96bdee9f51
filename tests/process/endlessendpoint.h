#pragma once

#include "drivers/tcpsocket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace citronspar::crowds
{

/** What an EndlessEndpoint sends on each connection after the head of a request. */
struct EndlessBytes
{
    std::string start;
    /** Repeated after the start, up to maxBytes. */
    std::string block;
    /** Then the connection stays open without a byte. */
    std::size_t maxBytes = 0;
};

/** A faulty endpoint that answers each request with many bytes and never ends the response. */
class EndlessEndpoint
{
private:
    struct Connection
    {
        std::unique_ptr<TcpSocket> socket;
        std::string request;
        std::size_t sentBytes = 0;
        bool isResponding = false;
        bool isClosed = false;
    };

    EndlessBytes m_bytes;
    Loop &m_loop;
    TcpListener m_listener;
    std::map<std::uint64_t, Connection> m_connections;
    std::uint64_t m_lastId = 0;

    void accept(int descriptor);

public:
    EndlessEndpoint(Loop &loop, const SocketAddress &address, EndlessBytes bytes);

    /** Sends more on the connections whose earlier bytes have been passed to the kernel. Returns whether any was sent. */
    bool sendMore();

    /** Connections on which a response began, and those of them that the daemon has closed. */
    std::size_t responseCount() const;
    std::size_t closedCount() const;
};

}
