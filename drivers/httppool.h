#pragma once

#include "drivers/httphead.h"
#include "drivers/httpreader.h"
#include "drivers/tcpsocket.h"
#include "servers/intake/responsebudget.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace citronspar
{

/** Result of an HttpPool call. */
enum class HttpCallResult {
    /** The whole response was received. */
    Complete,
    /** No byte of the request was written, so the server can't have seen it. */
    NotSent,
    /** The connection ended early, the response was malformed or the call timed out; the server may have seen the request. */
    Broken,
};

/** What showed that a call was broken off. */
enum class HttpBreakCause {
    /** The call was not broken off. */
    None,
    Reset,
    /** The connection was closed before the end of the response. */
    EndedEarly,
    /** Bytes that are no HTTP response, or too many that are not part of the response. */
    Malformed,
    /** The caller of the pool gave the call up. */
    GivenUp,
    /** All responses together hold more than the bound, and this one most. */
    MemoryBound,
};

/** Name for log lines. */
const char *breakCauseName(HttpBreakCause cause);

/** A request to send through an HttpPool. */
struct HttpCall
{
    SocketAddress target;
    /** Calls with the same key share connections. */
    std::string poolKey;
    HttpHead head;
    std::string body;
    /** Limit on the response body of fetch(); a longer one is Broken. */
    std::size_t maxFetchedBytes = 16U * 1024 * 1024;
    /**
     * Name of a request header that the server echoes. Responses that carry a different value are discarded; on a connection
     * that has been used before, a response without it breaks the call.
     */
    std::string echoHeader;
    Duration connectTimeout = std::chrono::milliseconds(1000);
    /** Connections that have been idle for this long are not reused; zero forces a new connection. */
    Duration maxIdle = std::chrono::seconds(60);
    /** Whether its response counts towards the bound of setMaxHeldBytes(); not for servers that are trusted, such as the store. */
    bool isHeldBytesCounted = true;
};

/** Client with a pool of keep-alive HTTP/1.1 connections. Each call reports its end exactly once, unless it is cancelled. */
class HttpPool
{
public:
    using CallId = std::uint64_t;

    struct Handlers
    {
        /** Called with the head of the response; @p length is negative if there is no Content-Length. */
        std::function<void(const HttpHead &head, HttpBodyFraming framing, std::int64_t length)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void(HttpCallResult result, HttpBreakCause cause)> onEnd;
        /** Called to free what recordHeld() has counted, by passing it on or discarding it. If nothing is freed, the call is broken off. */
        std::function<void()> onMemoryNeeded;
    };

    using BodyHandler = std::function<void(HttpCallResult result, const HttpHead &head, const std::string &body)>;

private:
    struct Connection
    {
        std::unique_ptr<TcpSocket> socket;
        std::string key;
        std::string input;
        std::shared_ptr<HttpResponseReader> reader;
        CallId call = 0;
        HttpCall request;
        /** Shared with the handler that runs, which may end the call. */
        std::shared_ptr<const Handlers> handlers;
        bool isConnected = false;
        bool hasSent = false;
        bool isDiscarding = false;
        /** Whether it has answered a call before the current one. */
        bool isReused = false;
        /** Bytes received since the request was sent that are not part of its final response, and the whole responses among them. */
        std::size_t skippedBytes = 0;
        std::size_t skippedResponses = 0;
        /** Bytes of the parsed head, and those that the handlers hold. */
        std::size_t headBytes = 0;
        std::size_t handlerBytes = 0;
        TimePoint idleSince{};
        Duration keepAliveTimeout{};
        TimerService::TimerId connectTimer = 0;
    };

    using ConnectionId = std::uint64_t;

    Loop &m_loop;
    std::map<ConnectionId, Connection> m_connections;
    std::map<std::string, std::list<ConnectionId>> m_idleConnections;
    std::map<CallId, ConnectionId> m_calls;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_openedCount = 0;
    ResponseBudget m_responses;

    ConnectionId takeIdleConnection(const HttpCall &call);
    ConnectionId openConnection(const HttpCall &call);
    void sendRequest(ConnectionId id);
    void startReader(ConnectionId id);
    void receive(ConnectionId id, std::string_view data);
    void readResponses(ConnectionId id, std::string_view data);
    void countHeld(const Connection &connection);
    /** Breaks off responses until the bound is kept. Not called while a handler runs. */
    void enforceBound();
    void completeCall(ConnectionId id);
    /** @param cause what ended the call, if @p result is Broken */
    void closeConnection(ConnectionId id, HttpCallResult result, HttpBreakCause cause = HttpBreakCause::None);
    void closeExpired(TimePoint now);
    Connection *connectionOf(CallId call);

public:
    explicit HttpPool(Loop &loop);

    /** Starts a call. No handler is called from within send(). */
    CallId send(HttpCall call, Handlers handlers);

    /**
     * Starts a call and buffers its response body. After @p timeout the call is
     * cancelled and reported as Broken.
     */
    CallId fetch(HttpCall call, Duration timeout, const BodyHandler &onDone);

    /** Cancels a call and resets its connection. No handler is called afterwards. */
    void cancel(CallId id);

    /** Resets the connection of a call whose response is unusable, and reports the call as Broken. */
    void breakOff(CallId id);

    /** Stops reading the response, so that TCP flow control slows down the sender. */
    void pause(CallId id);
    void resume(CallId id);

    /** Records that the handlers of a call hold @p bytes of its response. */
    void recordHeld(CallId id, std::size_t bytes);

    /** Bounds the bytes that are held of all responses together. Without it, there is no bound. */
    void setMaxHeldBytes(std::size_t bytes);
    /** What is held of all responses, in bytes. */
    std::size_t heldBytes() const;
    /** See ResponseBudget::isUnderPressure(). */
    bool isUnderPressure() const;

    /** Closes the idle connections of @p poolKey. */
    void closeIdle(const std::string &poolKey);

    /** Requests that the kernel has not accepted yet, in bytes. */
    std::size_t bufferedBytes() const;

    /** Number of connections opened since the pool was created. */
    std::uint64_t openedConnections() const;
};

}
