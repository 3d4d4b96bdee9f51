#pragma once

#include "drivers/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** A request to send. Only the headers listed here are sent, so that a client's API key can't leak. */
struct HttpClientRequest
{
    SocketAddress target;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/** Result of an HTTP call. */
enum class HttpClientResult {
    /** The whole response was received. */
    Complete,
    /** The connection failed before any response arrived and before any byte of the request body was written. */
    NotSent,
    /** The connection failed later, or the call timed out; the server may have processed the request. */
    Broken,
};

/** HTTP/1.1 client on the event loop. Each call has an id and reports its end exactly once, unless it is cancelled. */
class HttpClient
{
public:
    using CallId = std::uint64_t;
    using HeadHandler = std::function<void(int status, const std::string &contentType)>;
    using DataHandler = std::function<void(const std::string &data)>;
    using EndHandler = std::function<void(HttpClientResult result)>;
    using BodyHandler = std::function<void(HttpClientResult result, int status, const std::string &body)>;

    struct Handlers
    {
        HeadHandler onHead;
        DataHandler onData;
        EndHandler onEnd;
    };

private:
    struct Call
    {
        lws *socket = nullptr;
        HttpClientRequest request;
        std::size_t sentBytes = 0;
        Handlers handlers;
        bool isConnected = false;
    };

    lws_context *m_context = nullptr;
    TimerService &m_timers;
    lws_vhost *m_vhost = nullptr;
    lws_protocols m_protocols[2]{};
    std::map<CallId, Call> m_calls;
    CallId m_lastId = 0;

    static int callback(lws *socket, lws_callback_reasons reason, void *user, void *in, std::size_t length);

    Call *find(CallId id);
    int addHeaders(CallId id, lws *socket, unsigned char **position, std::size_t length);
    int writeBody(CallId id, lws *socket);
    void handleHead(CallId id, lws *socket);
    void finish(CallId id, HttpClientResult result);

public:
    explicit HttpClient(Loop &loop);

    /** Starts a call. The handlers are called from the event loop, never from within send(). */
    CallId send(HttpClientRequest request, Handlers handlers);

    /**
     * Starts a call and buffers its response body, up to 16 MiB; data beyond that is discarded. After @p timeout the
     * call is cancelled and reported as Broken.
     */
    CallId fetch(HttpClientRequest request, Duration timeout, const BodyHandler &onDone);

    /** Cancels a call and closes its connection. No handler is called afterwards. */
    void cancel(CallId id);

    /** Stops reading the response, so that TCP flow control slows down the sender. */
    void pause(CallId id);
    void resume(CallId id);
};

}
