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

/** A request that has been received completely. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string authorization;
    std::string idempotencyKey;
    std::string body;
};

/**
 * HTTP/1.1 server on one port, based on libwebsockets. Each exchange has an id;
 * calls with the id of an exchange whose client has disconnected are ignored.
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
        bool closesAfterResponse = false;
    };

    lws_context *m_context = nullptr;
    lws_vhost *m_vhost = nullptr;
    lws_protocols m_protocols[2]{};
    std::map<ExchangeId, Exchange> m_exchanges;
    ExchangeId m_lastId = 0;
    Limits m_limits;
    Handler m_handler;
    IdHandler m_disconnectHandler;
    IdHandler m_drainedHandler;

    static int callback(lws *socket, lws_callback_reasons reason, void *user, void *in, std::size_t length);

    Exchange *find(ExchangeId id);
    int startRequest(lws *socket, const char *path, std::size_t length);
    int receiveBody(ExchangeId id, const char *data, std::size_t length);
    void dispatch(ExchangeId id);
    /** Responds and closes the connection, so that what follows the head is not read as a request. */
    void refuse(ExchangeId id, int status, const std::string &text);
    int writeHead(Exchange &exchange);
    int writePending(ExchangeId id);
    void handleClosed(ExchangeId id);

public:
    HttpServer(const Loop &loop, Limits limits);

    /** Starts listening on @p address. Returns false if the address can't be bound. */
    bool open(const SocketAddress &address);

    void onRequest(Handler handler);

    /** Sets the handler that is called when a client disconnects before the response is complete. */
    void onClientDisconnected(IdHandler handler);

    /** Sets the handler that is called when all buffered output of a streamed response has been written to the socket. */
    void onDrained(IdHandler handler);

    /** Sends a complete response with the given body. */
    void respond(ExchangeId id, int status, const std::string &contentType, std::string body);

    /** Starts a response of unknown length; its body is delimited by closing the connection. */
    void beginStream(ExchangeId id, int status, const std::string &contentType);
    void writeStream(ExchangeId id, std::string data);
    void endStream(ExchangeId id);

    /** Closes the connection without completing the response. */
    void abort(ExchangeId id);

    /** Output that has not been written to the socket yet, in bytes. */
    std::size_t bufferedBytes(ExchangeId id) const;

    std::size_t openExchanges() const;
};

}
