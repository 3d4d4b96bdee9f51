#include "drivers/httpserver.h"

#include "servers/framing/messageframing.h"

#include <array>
#include <utility>

namespace citronspar
{

namespace
{

constexpr std::size_t headBufferBytes = 1024;
constexpr std::size_t writeChunkBytes = 16 * 1024;
constexpr std::size_t headerValueBytes = 1024;
constexpr int statusBadRequest = 400;
constexpr int statusLengthRequired = 411;
constexpr int statusBodyTooLarge = 413;
constexpr int statusUnknownCoding = 501;
constexpr int statusUnavailable = 503;

HttpServer::ExchangeId idOf(lws *socket)
{
    return reinterpret_cast<HttpServer::ExchangeId>(lws_get_opaque_user_data(socket));
}

void setId(lws *socket, HttpServer::ExchangeId id)
{
    lws_set_opaque_user_data(socket, reinterpret_cast<void *>(id));
}

std::string headerValue(lws *socket, lws_token_indexes token)
{
    std::array<char, headerValueBytes> buffer{};
    const int length = lws_hdr_copy(socket, buffer.data(), static_cast<int>(buffer.size()), token);
    return length > 0 ? std::string(buffer.data(), static_cast<std::size_t>(length)) : std::string();
}

std::string customHeaderValue(lws *socket, const std::string &name)
{
    std::array<char, headerValueBytes> buffer{};
    const int length
        = lws_hdr_custom_copy(socket, buffer.data(), static_cast<int>(buffer.size()), name.c_str(), static_cast<int>(name.size()));
    return length > 0 ? std::string(buffer.data(), static_cast<std::size_t>(length)) : std::string();
}

/** Adds the field to @p framing if the request has it; one that is too long to be read is added as an empty one. */
void addFramingField(lws *socket, lws_token_indexes token, std::string_view name, MessageFraming &framing)
{
    if (lws_hdr_fragment_length(socket, token, 0) > 0 || lws_hdr_total_length(socket, token) > 0) {
        framing.addField(name, headerValue(socket, token));
    }
}

std::string methodOf(lws *socket)
{
    const std::array<std::pair<lws_token_indexes, const char *>, 4> methods = {{
        {WSI_TOKEN_GET_URI, "GET"},
        {WSI_TOKEN_POST_URI, "POST"},
        {WSI_TOKEN_PUT_URI, "PUT"},
        {WSI_TOKEN_DELETE_URI, "DELETE"},
    }};
    for (const std::pair<lws_token_indexes, const char *> &method : methods) {
        if (lws_hdr_total_length(socket, method.first) > 0) {
            return method.second;
        }
    }
    return "OTHER";
}

}

HttpServer::HttpServer(const Loop &loop, Limits limits)
    : m_context(loop.context())
    , m_limits(limits)
{
    m_protocols[0].name = "http";
    m_protocols[0].callback = callback;
}

bool HttpServer::open(const SocketAddress &address)
{
    lws_context_creation_info info{};
    info.port = address.port;
    info.iface = address.host.c_str();
    info.protocols = m_protocols;
    info.user = this;
    info.vhost_name = "http-server";
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.keepalive_timeout = 60;
    info.timeout_secs = 60;
    m_vhost = lws_create_vhost(m_context, &info);
    return m_vhost != nullptr && lws_get_vhost_listen_port(m_vhost) > 0;
}

void HttpServer::onRequest(Handler handler)
{
    m_handler = std::move(handler);
}

void HttpServer::onClientDisconnected(IdHandler handler)
{
    m_disconnectHandler = std::move(handler);
}

void HttpServer::onDrained(IdHandler handler)
{
    m_drainedHandler = std::move(handler);
}

HttpServer::Exchange *HttpServer::find(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

int HttpServer::startRequest(lws *socket, const char *path, std::size_t length)
{
    const ExchangeId id = ++m_lastId;
    setId(socket, id);
    Exchange &exchange = m_exchanges[id];
    exchange.socket = socket;
    exchange.request.method = methodOf(socket);
    exchange.request.path.assign(path, length);
    exchange.request.authorization = headerValue(socket, WSI_TOKEN_HTTP_AUTHORIZATION);
    exchange.request.idempotencyKey = customHeaderValue(socket, "idempotency-key:");
    if (m_exchanges.size() > m_limits.maxExchanges) {
        refuse(id, statusUnavailable, "too many open requests\n");
        return 0;
    }
    MessageFraming framing;
    addFramingField(socket, WSI_TOKEN_HTTP_TRANSFER_ENCODING, "Transfer-Encoding", framing);
    addFramingField(socket, WSI_TOKEN_HTTP_CONTENT_LENGTH, "Content-Length", framing);
    const MessageFraming::Verdict verdict = framing.verdict(false);
    if (verdict == MessageFraming::Verdict::Faulty || verdict == MessageFraming::Verdict::UnknownCoding) {
        const bool isFaulty = verdict == MessageFraming::Verdict::Faulty;
        refuse(id, isFaulty ? statusBadRequest : statusUnknownCoding, "the end of the body can't be known\n");
        return 0;
    }
    const bool hasBody = exchange.request.method == "POST" || exchange.request.method == "PUT";
    // libwebsockets 4.1 never returns from a request with a body that is pipelined behind one without.
    exchange.closesAfterResponse = !hasBody;
    if (verdict == MessageFraming::Verdict::Chunked || (hasBody && verdict == MessageFraming::Verdict::Unmarked)) {
        refuse(id, statusLengthRequired, "content-length is required\n");
        return 0;
    }
    exchange.expectedBytes = hasBody ? std::strtoull(headerValue(socket, WSI_TOKEN_HTTP_CONTENT_LENGTH).c_str(), nullptr, 10) : 0;
    if (exchange.expectedBytes > m_limits.maxBodyBytes) {
        refuse(id, statusBodyTooLarge, "the body is too large\n");
        return 0;
    }
    if (exchange.expectedBytes == 0) {
        dispatch(id);
    }
    return 0;
}

int HttpServer::receiveBody(ExchangeId id, const char *data, std::size_t length)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->status != 0) {
        return 0;
    }
    exchange->request.body.append(data, length);
    return exchange->request.body.size() > m_limits.maxBodyBytes ? -1 : 0;
}

void HttpServer::dispatch(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->isDispatched || exchange->status != 0) {
        return;
    }
    exchange->isDispatched = true;
    m_handler(id, std::move(exchange->request));
}

void HttpServer::refuse(ExchangeId id, int status, const std::string &text)
{
    find(id)->closesAfterResponse = true;
    respond(id, status, "text/plain", text);
}

void HttpServer::respond(ExchangeId id, int status, const std::string &contentType, std::string body)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->status != 0) {
        return;
    }
    exchange->status = status;
    exchange->contentType = contentType;
    exchange->totalBytes = body.size();
    exchange->outputBytes = body.size();
    exchange->output.push_back(std::move(body));
    exchange->isEnded = true;
    lws_callback_on_writable(exchange->socket);
}

void HttpServer::beginStream(ExchangeId id, int status, const std::string &contentType)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->status != 0) {
        return;
    }
    exchange->status = status;
    exchange->contentType = contentType;
    exchange->isStream = true;
    lws_callback_on_writable(exchange->socket);
}

void HttpServer::writeStream(ExchangeId id, std::string data)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->isEnded || data.empty()) {
        return;
    }
    exchange->outputBytes += data.size();
    exchange->output.push_back(std::move(data));
    lws_callback_on_writable(exchange->socket);
}

void HttpServer::endStream(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->isEnded = true;
    lws_callback_on_writable(exchange->socket);
}

void HttpServer::abort(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (exchange != nullptr) {
        lws_set_timeout(exchange->socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

int HttpServer::writeHead(Exchange &exchange)
{
    std::array<unsigned char, LWS_PRE + headBufferBytes> buffer{};
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *position = start;
    unsigned char *end = buffer.data() + buffer.size() - 1;
    const lws_filepos_t length = exchange.isStream ? LWS_ILLEGAL_HTTP_CONTENT_LEN : exchange.totalBytes;
    if (lws_add_http_common_headers(exchange.socket, static_cast<unsigned int>(exchange.status), exchange.contentType.c_str(), length,
                                    &position, end)
        != 0) {
        return -1;
    }
    const std::string closeOption = "close";
    if (exchange.closesAfterResponse && !exchange.isStream
        && lws_add_http_header_by_token(exchange.socket, WSI_TOKEN_CONNECTION, reinterpret_cast<const unsigned char *>(closeOption.data()),
                                        static_cast<int>(closeOption.size()), &position, end)
            != 0) {
        return -1;
    }
    exchange.hasSentHead = true;
    return lws_finalize_write_http_header(exchange.socket, start, &position, end);
}

int HttpServer::writePending(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->status == 0) {
        return 0;
    }
    if (!exchange->hasSentHead) {
        if (writeHead(*exchange) != 0) {
            return -1;
        }
        lws_callback_on_writable(exchange->socket);
        return 0;
    }
    std::array<unsigned char, LWS_PRE + writeChunkBytes> buffer;
    std::size_t filled = 0;
    while (!exchange->output.empty() && filled < writeChunkBytes) {
        std::string &front = exchange->output.front();
        const std::size_t taken = std::min(front.size(), writeChunkBytes - filled);
        std::copy_n(front.data(), taken, buffer.data() + LWS_PRE + filled);
        filled += taken;
        front.erase(0, taken);
        if (front.empty()) {
            exchange->output.pop_front();
        }
    }
    exchange->outputBytes -= filled;
    const bool isLast = exchange->isEnded && exchange->output.empty();
    if (filled > 0 || isLast) {
        const lws_write_protocol kind = isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
        if (lws_write(exchange->socket, buffer.data() + LWS_PRE, filled, kind) < static_cast<int>(filled)) {
            return -1;
        }
    }
    if (isLast) {
        lws *socket = exchange->socket;
        const bool closes = exchange->isStream || exchange->closesAfterResponse;
        m_exchanges.erase(id);
        setId(socket, 0);
        return closes || lws_http_transaction_completed(socket) != 0 ? -1 : 0;
    }
    if (!exchange->output.empty()) {
        lws_callback_on_writable(exchange->socket);
    } else if (filled > 0 && m_drainedHandler) {
        m_drainedHandler(id);
    }
    return 0;
}

void HttpServer::handleClosed(ExchangeId id)
{
    const Exchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    const bool isDispatched = exchange->isDispatched;
    m_exchanges.erase(id);
    if (isDispatched && m_disconnectHandler) {
        m_disconnectHandler(id);
    }
}

std::size_t HttpServer::bufferedBytes(ExchangeId id) const
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? 0 : found->second.outputBytes;
}

std::size_t HttpServer::openExchanges() const
{
    return m_exchanges.size();
}

int HttpServer::callback(lws *socket, lws_callback_reasons reason, void *, void *in, std::size_t length)
{
    lws_vhost *vhost = socket != nullptr && !Loop::isClosing(socket) ? lws_get_vhost(socket) : nullptr;
    HttpServer *server = vhost != nullptr ? static_cast<HttpServer *>(lws_vhost_user(vhost)) : nullptr;
    if (server == nullptr) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return server->startRequest(socket, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY:
        return server->receiveBody(idOf(socket), static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        server->dispatch(idOf(socket));
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server->writePending(idOf(socket));
    case LWS_CALLBACK_CLOSED_HTTP:
        server->handleClosed(idOf(socket));
        return 0;
    default:
        return 0;
    }
}

}
