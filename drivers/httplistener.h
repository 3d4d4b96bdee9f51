#pragma once

#include "drivers/httphead.h"
#include "drivers/httpreader.h"
#include "drivers/tcpsocket.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace citronspar
{

/** A request that has arrived whole. */
struct HttpIncoming
{
    HttpHead head;
    std::string body;
    /** When its first byte was read. */
    TimePoint arrived{};
};

/**
 * An HTTP/1.1 server that keeps all headers and streams answers. A request is
 * known by the id of its exchange; calls with the id of an exchange that has
 * ended are ignored.
 */
class HttpListener
{
public:
    using ExchangeId = std::uint64_t;
    using RequestHandler = std::function<void(ExchangeId id, HttpIncoming request)>;
    using IdHandler = std::function<void(ExchangeId id)>;

    struct Limits
    {
        HttpReadLimits read;
        Duration headerTimeout = std::chrono::seconds(10);
        Duration idleTimeout = std::chrono::seconds(60);
    };

private:
    using ConnectionId = std::uint64_t;

    struct Connection
    {
        std::unique_ptr<TcpSocket> socket;
        std::unique_ptr<HttpRequestReader> reader;
        std::string input;
        HttpIncoming request;
        /** The exchange in progress; 0 between requests. */
        ExchangeId exchange = 0;
        bool isChunked = false;
        bool closesAfterAnswer = false;
        bool isClosing = false;
        /** When the next request began to arrive, or when the connection fell idle. */
        TimePoint waitingSince{};
        bool isReadingRequest = false;
    };

    Loop &m_loop;
    TcpPort m_port;
    Limits m_limits;
    RequestHandler m_requestHandler;
    IdHandler m_goneHandler;
    IdHandler m_drainedHandler;
    std::map<ConnectionId, Connection> m_connections;
    std::map<ExchangeId, ConnectionId> m_exchanges;
    std::uint64_t m_lastId = 0;
    bool m_isStopping = false;

    void accept(int descriptor);
    void receive(ConnectionId id, std::string_view data);
    void parse(ConnectionId id);
    void dispatch(ConnectionId id, Connection &connection);
    void reject(ConnectionId id, int status);
    void finishAnswer(ConnectionId id);
    void drop(ConnectionId id);
    void closeExpired(TimePoint now);
    Connection *connectionOf(ExchangeId id);
    void startAnswer(Connection &connection, HttpHead &head);

public:
    explicit HttpListener(Loop &loop);

    /** Listens on @p address; false when the port can't be had. */
    bool open(const SocketAddress &address);
    void setLimits(const Limits &limits);

    void onRequest(RequestHandler handler);
    /** The caller has gone before its answer was whole. */
    void onGone(IdHandler handler);
    /** The caller has taken all output so far. */
    void onDrained(IdHandler handler);

    /** Answers with a whole body. */
    void respond(ExchangeId id, HttpHead head, std::string_view body);

    /** Starts an answer in pieces; @p length is negative when it is not known. */
    void begin(ExchangeId id, HttpHead head, std::int64_t length);
    void write(ExchangeId id, std::string_view data);
    void finish(ExchangeId id);

    /** Ends the connection so that the caller can't take the answer for complete. */
    void abort(ExchangeId id);

    /** The output that the caller has not taken yet, in bytes. */
    std::size_t bufferedBytes(ExchangeId id);

    /** From now on each answer closes its connection. New connections are still taken. */
    void beginStop();

    /** Closes the connections that carry no request. */
    void closeIdle();

    std::size_t openExchanges() const;
};

}
