#pragma once

#include "drivers/httphead.h"
#include "drivers/httpreader.h"
#include "drivers/tcpsocket.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace citronspar
{

/** How a call of the pool ended. */
enum class HttpCallEnd {
    /** The answer is whole. */
    Complete,
    /** No byte of the request was written: the other side can't have seen it. */
    NotSent,
    /** The connection ended or the answer made no sense: the other side may have seen the request. */
    Broken,
};

/** A request for the pool. */
struct HttpCall
{
    SocketAddress target;
    /** Connections are shared between calls with the same key. */
    std::string poolKey;
    HttpHead head;
    std::string body;
    /** The header whose value an answer to this request repeats; answers with another value are skipped. */
    std::string echoHeader;
    Duration connectTimeout = std::chrono::milliseconds(1000);
    /** A connection that was idle for longer is not used; zero asks for a new one. */
    Duration maxIdle = std::chrono::seconds(60);
};

/** Calls over kept HTTP/1.1 connections. Each call ends exactly once, unless it is cancelled. */
class HttpPool
{
public:
    using CallId = std::uint64_t;

    struct Handlers
    {
        /** The head of the answer; @p length is negative when it states none. */
        std::function<void(const HttpHead &head, std::int64_t length)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void(HttpCallEnd end)> onEnd;
    };

    using BodyHandler = std::function<void(HttpCallEnd end, const HttpHead &head, const std::string &body)>;

private:
    struct Connection
    {
        std::unique_ptr<TcpSocket> socket;
        std::string key;
        std::string input;
        std::shared_ptr<HttpResponseReader> reader;
        CallId call = 0;
        HttpCall request;
        Handlers handlers;
        bool isConnected = false;
        bool hasSent = false;
        bool isSkipping = false;
        TimePoint idleSince{};
        Duration idleLimit{};
        TimerService::TimerId connectTimer = 0;
    };

    using ConnectionId = std::uint64_t;

    Loop &m_loop;
    std::map<ConnectionId, Connection> m_connections;
    std::map<std::string, std::list<ConnectionId>> m_idle;
    std::map<CallId, ConnectionId> m_calls;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;

    ConnectionId takeIdle(const HttpCall &call);
    ConnectionId openConnection(const HttpCall &call);
    void sendRequest(ConnectionId id);
    void startReader(ConnectionId id);
    void receive(ConnectionId id, std::string_view data);
    void finishAnswer(ConnectionId id);
    void closeConnection(ConnectionId id, HttpCallEnd end);
    void closeExpired(TimePoint now);
    Connection *connectionOf(CallId call);

public:
    explicit HttpPool(Loop &loop);

    /** Starts a call. Handlers are never called from within send(). */
    CallId send(HttpCall call, Handlers handlers);

    /** Starts a call whose answer is collected, and gives up after @p timeout. */
    CallId fetch(HttpCall call, Duration timeout, const BodyHandler &onDone);

    /** Ends a call without a report and closes its connection. */
    void cancel(CallId id);

    /** Stops reading the answer, so that the sender is slowed down. */
    void pause(CallId id);
    void resume(CallId id);

    /** Closes the idle connections of a key. */
    void forget(const std::string &poolKey);

    /** The connections opened so far. */
    std::uint64_t openedConnections() const;
};

}
