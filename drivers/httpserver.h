#pragma once

#include "drivers/loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronspar
{

/** A request that has arrived whole. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string authorization;
    std::string idempotencyKey;
    std::string body;
};

/**
 * An HTTP/1.1 server on one port. A caller's request is known by an id; all
 * calls with the id of a request whose caller has gone are ignored.
 */
class HttpServer
{
public:
    using ExchangeId = std::uint64_t;
    using Handler = std::function<void(ExchangeId id, HttpRequest request)>;
    using IdHandler = std::function<void(ExchangeId id)>;

    struct Limits
    {
        std::size_t maxBodyBytes = 4U * 1024 * 1024;
        std::size_t maxExchanges = 4096;
    };

private:
    struct Exchange
    {
        lws *socket = nullptr;
        HttpRequest request;
        std::size_t expectedBytes = 0;
        int status = 0;
        std::string contentType;
        std::deque<std::string> output;
        std::size_t outputBytes = 0;
        std::size_t totalBytes = 0;
        bool isStream = false;
        bool hasSentHead = false;
        bool isEnded = false;
        bool isDispatched = false;
    };

    lws_context *m_context = nullptr;
    lws_vhost *m_vhost = nullptr;
    lws_protocols m_protocols[2]{};
    std::map<ExchangeId, Exchange> m_exchanges;
    ExchangeId m_lastId = 0;
    Limits m_limits;
    Handler m_handler;
    IdHandler m_goneHandler;
    IdHandler m_drainedHandler;

    static int callback(lws *socket, lws_callback_reasons reason, void *user, void *in, std::size_t length);

    Exchange *find(ExchangeId id);
    int startRequest(lws *socket, const char *path, std::size_t length);
    int receiveBody(ExchangeId id, const char *data, std::size_t length);
    void dispatch(ExchangeId id);
    int writeHead(Exchange &exchange);
    int writeSome(ExchangeId id);
    void forget(ExchangeId id);

public:
    HttpServer(const Loop &loop, Limits limits);

    /** Listens on @p address; false when the port can't be had. */
    bool open(const SocketAddress &address);

    void onRequest(Handler handler);

    /** Called when a caller has gone before its answer was whole. */
    void onGone(IdHandler handler);

    /** Called when all output of a stream has been passed to the socket. */
    void onDrained(IdHandler handler);

    /** Answers with a whole body. */
    void respond(ExchangeId id, int status, const std::string &contentType, std::string body);

    /** Starts an answer whose length is not known; its end is the end of the connection. */
    void beginStream(ExchangeId id, int status, const std::string &contentType);
    void writeStream(ExchangeId id, std::string data);
    void endStream(ExchangeId id);

    /** Closes the connection without completing the answer. */
    void abort(ExchangeId id);

    /** The output that the caller has not taken yet, in bytes. */
    std::size_t bufferedBytes(ExchangeId id) const;

    /** The number of exchanges that are open. */
    std::size_t openExchanges() const;
};

}
