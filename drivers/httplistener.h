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

/** A request that has been received completely. */
struct HttpIncomingRequest
{
    HttpHead head;
    std::string body;
    /** Time at which the first byte was read. */
    TimePoint arrived{};
};

/**
 * HTTP/1.1 server that passes all request headers on and streams responses. A
 * request is identified by the id of its exchange; calls with the id of an
 * exchange that has ended are ignored.
 */
class HttpListener
{
public:
    using ExchangeId = std::uint64_t;
    using RequestHandler = std::function<void(ExchangeId id, HttpIncomingRequest request)>;
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
        HttpIncomingRequest request;
        /** The exchange in progress, or 0 between requests. */
        ExchangeId exchange = 0;
        bool isChunked = false;
        bool closesAfterResponse = false;
        bool readsChunks = true;
        bool isClosing = false;
        /** Start of the current timeout: when the first byte of a request arrived or the connection became idle. */
        TimePoint waitingSince{};
        bool isReadingRequest = false;
    };

    Loop &m_loop;
    TcpListener m_tcpListener;
    Limits m_limits;
    RequestHandler m_requestHandler;
    IdHandler m_disconnectHandler;
    IdHandler m_drainedHandler;
    std::map<ConnectionId, Connection> m_connections;
    std::map<ExchangeId, ConnectionId> m_exchanges;
    std::uint64_t m_lastId = 0;
    bool m_isStopping = false;
    TimerService::TimerId m_expiryTimer = 0;

    void accept(int descriptor);
    void receive(ConnectionId id, std::string_view data);
    void parse(ConnectionId id);
    void dispatch(ConnectionId id, Connection &connection);
    void reject(ConnectionId id, int status);
    void completeExchange(ConnectionId id);
    void removeConnection(ConnectionId id);
    void closeExpired(TimePoint now);
    Connection *connectionOf(ExchangeId id);
    void prepareResponse(Connection &connection, HttpHead &head);

public:
    explicit HttpListener(Loop &loop);
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /** Starts listening on @p address. Returns false if the address can't be bound. */
    bool open(const SocketAddress &address);
    void setLimits(const Limits &limits);

    void onRequest(RequestHandler handler);
    /** Sets the handler that is called when a client disconnects before the response is complete. */
    void onClientDisconnected(IdHandler handler);
    /** Sets the handler that is called when all buffered output has been passed to the kernel. */
    void onDrained(IdHandler handler);

    /** Sends a complete response with the given body. */
    void respond(ExchangeId id, HttpHead head, std::string_view body);

    /**
     * Starts a streamed response. With HttpBodyFraming::ConnectionEnd, or if the client can't read chunks, the connection is closed
     * at its end.
     * @param length length of the body in bytes, if @p framing is HttpBodyFraming::Length
     */
    void begin(ExchangeId id, HttpHead head, HttpBodyFraming framing, std::int64_t length = 0);
    void write(ExchangeId id, std::string_view data);
    void finish(ExchangeId id);

    /** Resets the connection, so that the client can't mistake the response for complete. */
    void abort(ExchangeId id);

    /** Output that the kernel has not accepted yet, in bytes. */
    std::size_t bufferedBytes(ExchangeId id);

    /** Makes each further response close its connection. New connections are still accepted. */
    void beginStop();

    /** Closes the connections on which no request is in progress. */
    void closeIdle();

    std::size_t openExchanges() const;
};

}
