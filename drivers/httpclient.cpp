#include "drivers/httpclient.h"

#include <array>
#include <memory>

namespace citronspar
{

namespace
{

constexpr std::size_t ioChunkBytes = 16 * 1024;
constexpr std::size_t maxFetchedBodyBytes = 16U * 1024 * 1024;

HttpClient::CallId idOf(lws *socket)
{
    return reinterpret_cast<HttpClient::CallId>(lws_get_opaque_user_data(socket));
}

}

HttpClient::HttpClient(Loop &loop)
    : m_context(loop.context())
    , m_timers(loop.timers())
{
    m_protocols[0].name = "http-client";
    m_protocols[0].callback = callback;
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = m_protocols;
    info.user = this;
    info.vhost_name = "http-client";
    info.timeout_secs = 300;
    m_vhost = lws_create_vhost(m_context, &info);
}

HttpClient::Call *HttpClient::find(CallId id)
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

HttpClient::CallId HttpClient::send(HttpClientRequest request, Handlers handlers)
{
    const CallId id = ++m_lastId;
    Call &call = m_calls[id];
    call.request = std::move(request);
    call.handlers = std::move(handlers);
    const std::string host = call.request.target.host;
    lws_client_connect_info info{};
    info.context = m_context;
    info.vhost = m_vhost;
    info.address = host.c_str();
    info.port = call.request.target.port;
    info.path = call.request.path.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.method = call.request.method.c_str();
    info.protocol = m_protocols[0].name;
    info.alpn = "http/1.1";
    info.opaque_user_data = reinterpret_cast<void *>(id);
    lws *socket = lws_client_connect_via_info(&info);
    Call *pending = find(id);
    if (pending != nullptr && socket != nullptr) {
        pending->socket = socket;
        return id;
    }
    // Reports the failure from the event loop, after send() has returned the id to its caller.
    if (pending != nullptr) {
        m_timers.subscribeOnce(Duration::zero(), [this, id](TimePoint) {
            finish(id, HttpClientResult::NotSent);
        });
    }
    return id;
}

HttpClient::CallId HttpClient::fetch(HttpClientRequest request, Duration timeout, const BodyHandler &onDone)
{
    struct Response
    {
        int status = 0;
        std::string body;
        CallId id = 0;
        TimerService::TimerId timer = 0;
    };
    const std::shared_ptr<Response> response = std::make_shared<Response>();
    Handlers handlers;
    handlers.onHead = [response](int status, const std::string &) {
        response->status = status;
    };
    handlers.onData = [response](const std::string &data) {
        if (response->body.size() + data.size() <= maxFetchedBodyBytes) {
            response->body += data;
        }
    };
    handlers.onEnd = [this, response, onDone](HttpClientResult result) {
        m_timers.unsubscribe(response->timer);
        onDone(result, response->status, response->body);
    };
    response->id = send(std::move(request), std::move(handlers));
    response->timer = m_timers.subscribeOnce(timeout, [this, response, onDone](TimePoint) {
        cancel(response->id);
        onDone(HttpClientResult::Broken, 0, std::string());
    });
    return response->id;
}

void HttpClient::cancel(CallId id)
{
    Call *call = find(id);
    if (call == nullptr) {
        return;
    }
    lws *socket = call->socket;
    m_calls.erase(id);
    if (socket != nullptr) {
        lws_set_timeout(socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void HttpClient::pause(CallId id)
{
    const Call *call = find(id);
    if (call != nullptr && call->isConnected) {
        lws_rx_flow_control(call->socket, 0);
    }
}

void HttpClient::resume(CallId id)
{
    const Call *call = find(id);
    if (call != nullptr && call->isConnected) {
        lws_rx_flow_control(call->socket, 1);
    }
}

int HttpClient::addHeaders(CallId id, lws *socket, unsigned char **position, std::size_t length)
{
    const Call *call = find(id);
    if (call == nullptr) {
        return -1;
    }
    unsigned char *end = *position + length;
    std::vector<std::pair<std::string, std::string>> headers = call->request.headers;
    const bool hasBody = !call->request.body.empty();
    if (hasBody || call->request.method != "GET") {
        headers.emplace_back("content-length", std::to_string(call->request.body.size()));
    }
    for (const std::pair<std::string, std::string> &header : headers) {
        const std::string name = header.first + ":";
        if (lws_add_http_header_by_name(socket, reinterpret_cast<const unsigned char *>(name.c_str()),
                                        reinterpret_cast<const unsigned char *>(header.second.data()),
                                        static_cast<int>(header.second.size()), position, end)
            != 0) {
            return -1;
        }
    }
    if (hasBody) {
        lws_client_http_body_pending(socket, 1);
        lws_callback_on_writable(socket);
    }
    return 0;
}

int HttpClient::writeBody(CallId id, lws *socket)
{
    Call *call = find(id);
    if (call == nullptr) {
        return -1;
    }
    const std::string &body = call->request.body;
    if (call->sentBytes >= body.size()) {
        return 0;
    }
    const std::size_t count = std::min(ioChunkBytes, body.size() - call->sentBytes);
    std::array<unsigned char, LWS_PRE + ioChunkBytes> buffer;
    std::copy_n(body.data() + call->sentBytes, count, buffer.data() + LWS_PRE);
    call->sentBytes += count;
    const bool isLast = call->sentBytes == body.size();
    if (isLast) {
        lws_client_http_body_pending(socket, 0);
    }
    const lws_write_protocol kind = isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(socket, buffer.data() + LWS_PRE, count, kind) < static_cast<int>(count)) {
        return -1;
    }
    if (!isLast) {
        lws_callback_on_writable(socket);
    }
    return 0;
}

void HttpClient::handleHead(CallId id, lws *socket)
{
    Call *call = find(id);
    if (call == nullptr) {
        return;
    }
    call->socket = socket;
    call->isConnected = true;
    std::array<char, 256> buffer{};
    const int length = lws_hdr_copy(socket, buffer.data(), static_cast<int>(buffer.size()), WSI_TOKEN_HTTP_CONTENT_TYPE);
    const std::string contentType = length > 0 ? std::string(buffer.data(), static_cast<std::size_t>(length)) : std::string();
    if (call->handlers.onHead) {
        const HeadHandler handler = call->handlers.onHead;
        handler(static_cast<int>(lws_http_client_http_response(socket)), contentType);
    }
}

void HttpClient::finish(CallId id, HttpClientResult result)
{
    const Call *call = find(id);
    if (call == nullptr) {
        return;
    }
    const EndHandler handler = call->handlers.onEnd;
    m_calls.erase(id);
    if (handler) {
        handler(result);
    }
}

int HttpClient::callback(lws *socket, lws_callback_reasons reason, void *, void *in, std::size_t length)
{
    lws_vhost *vhost = socket != nullptr && !Loop::isClosing(socket) ? lws_get_vhost(socket) : nullptr;
    HttpClient *client = vhost != nullptr ? static_cast<HttpClient *>(lws_vhost_user(vhost)) : nullptr;
    if (client == nullptr) {
        return 0;
    }
    const CallId id = idOf(socket);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return client->addHeaders(id, socket, static_cast<unsigned char **>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return client->writeBody(id, socket);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        client->handleHead(id, socket);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        std::array<char, LWS_PRE + ioChunkBytes> buffer;
        char *data = buffer.data() + LWS_PRE;
        int size = static_cast<int>(ioChunkBytes);
        return lws_http_client_read(socket, &data, &size) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ: {
        const Call *call = client->find(id);
        if (call == nullptr) {
            return -1;
        }
        const DataHandler handler = call->handlers.onData;
        if (handler) {
            handler(std::string(static_cast<const char *>(in), length));
        }
        return 0;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        client->finish(id, HttpClientResult::Complete);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR: {
        const Call *call = client->find(id);
        // Part of the request may have been sent once writing its body has started.
        const bool wasSent = call != nullptr && (call->isConnected || call->sentBytes > 0);
        client->finish(id, wasSent ? HttpClientResult::Broken : HttpClientResult::NotSent);
        return 0;
    }
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        client->finish(id, HttpClientResult::Broken);
        return 0;
    default:
        return 0;
    }
}

}
