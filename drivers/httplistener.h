#pragma once

#include "drivers/httphead.h"
#include "drivers/httpreader.h"
#include "drivers/tcpsocket.h"
#include "servers/intake/intakebudget.h"

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
        /** Connections that are open at once; beyond it, the idlest one that has not been answered yet is closed. */
        std::size_t maxConnections = defaultMaxConnections;
    };

    /** Connections that fit into the 3,072 descriptors of the smallest VM with room for endpoints, peers and the store. */
    static constexpr std::size_t defaultMaxConnections = 1920;

    /** Why a request was refused before it was handed over, or a connection closed to bound what the daemon holds. */
    enum class RefusalReason {
        /** The bytes of all requests have reached the bound of the budget; answered with 503. */
        Memory,
        /** The running requests hold so much that this one can't start; answered with 503. */
        RunningRequests,
        /** Closed, as too much output waits for clients and this one holds most. */
        SlowReader,
        /** Closed, as too many connections are open. */
        Connections,
        /** The request was not complete within the header timeout; answered with 408. */
        Incomplete,
        /** The head is beyond its limit; answered with 431. */
        HeaderTooLarge,
        /** The body is beyond its limit; answered with 413. */
        BodyTooLarge,
        /** No HTTP request, or one whose body has no certain end; answered with 400. */
        Malformed,
        /** The body is in a transfer coding that is not decoded here; answered with 501. */
        UnknownCoding,
    };

    /** Name for log lines and metrics. */
    static const char *refusalName(RefusalReason reason);

    /** @param heldBytes what was held for the connection */
    using RefusalHandler = std::function<void(RefusalReason reason, std::size_t heldBytes)>;

private:
    using ConnectionId = std::uint64_t;

    struct Refusal
    {
        const char *name = "";
        /** Status of the response, or 0 if the connection is closed without one. */
        int status = 0;
    };

    static const Refusal &refusalOf(RefusalReason reason);

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
        bool hasBeenAnswered = false;
        /** The request in the budget, from its first byte until its response is complete; 0 for none. */
        IntakeBudget::HolderId holder = 0;
        /** Memory of the head and the body of the request. */
        std::size_t requestBytes = 0;
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
    TimerService::TimerId m_budgetTimer = 0;
    IntakeBudget m_budget;
    std::map<IntakeBudget::HolderId, ConnectionId> m_holders;
    RefusalHandler m_refusalHandler;
    std::size_t m_otherOutputBytes = 0;

    void recordHeld(Connection &connection);
    void releaseHeld(Connection &connection);
    void refuse(ConnectionId id, RefusalReason reason);
    void refuseExcess();
    void applyBudget();
    void closeSlowestReader();
    /** Closes a connection to make room for another one. Returns false if all are in use. */
    bool makeRoom();

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

    /** The limits for ports that only the platform's checks and scrapers use. */
    static Limits probeLimits();

    /** Sets the bound on the bytes that are held for clients. */
    void setMaxHeldBytes(std::size_t bytes);

    /** Sets the output that waits elsewhere in the daemon and counts towards the bound, in bytes. */
    void setOtherOutputBytes(std::size_t bytes);

    /** Sets the handler that is called for each request or connection that is refused. */
    void onRefused(RefusalHandler handler);

    /** Bytes held for all clients. */
    std::size_t heldBytes() const;

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

    /** Closes the connections on which no request is in progress and no output waits. */
    void closeIdle();

    /** Responses that are finished, and of which the kernel has not accepted all bytes. */
    std::size_t unsentResponses() const;

    std::size_t openExchanges() const;
    std::size_t openConnections() const;
};

}
