#include "drivers/httplistener.h"

#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(500);

std::string chunkHeader(std::size_t size)
{
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return std::string(text.data(), static_cast<std::size_t>(length));
}

}

HttpListener::HttpListener(Loop &loop)
    : m_loop(loop)
    , m_tcpListener(loop, [this](int descriptor) {
        accept(descriptor);
    })
{
    m_expiryTimer = loop.timers().subscribe(expiryCheckPeriod, [this](TimePoint now) {
        closeExpired(now);
    });
}

HttpListener::~HttpListener()
{
    m_loop.timers().unsubscribe(m_expiryTimer);
}

bool HttpListener::open(const SocketAddress &address)
{
    return m_tcpListener.open(address);
}

void HttpListener::setLimits(const Limits &limits)
{
    m_limits = limits;
}

void HttpListener::onRequest(RequestHandler handler)
{
    m_requestHandler = std::move(handler);
}

void HttpListener::onClientDisconnected(IdHandler handler)
{
    m_disconnectHandler = std::move(handler);
}

void HttpListener::onDrained(IdHandler handler)
{
    m_drainedHandler = std::move(handler);
}

void HttpListener::accept(int descriptor)
{
    const ConnectionId id = ++m_lastId;
    TcpSocket::Handlers handlers;
    handlers.onData = [this, id](std::string_view data) {
        receive(id, data);
    };
    handlers.onDrained = [this, id]() {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        if (found->second.isClosing) {
            removeConnection(id);
        } else if (found->second.exchange != 0 && m_drainedHandler) {
            m_drainedHandler(found->second.exchange);
        }
    };
    handlers.onEnd = [this, id](SocketCloseReason) {
        removeConnection(id);
    };
    Connection &connection = m_connections[id];
    connection.waitingSince = Loop::now();
    connection.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
    if (!connection.socket->adopt(descriptor)) {
        m_connections.erase(id);
    }
}

void HttpListener::receive(ConnectionId id, std::string_view data)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.isClosing) {
        return;
    }
    Connection &connection = found->second;
    connection.input.append(data);
    if (connection.exchange != 0) {
        // A pipelined request is buffered until the current response is finished; pausing bounds the buffer.
        if (connection.input.size() > m_limits.read.maxBodyBytes) {
            connection.socket->pauseReading();
        }
        return;
    }
    parse(id);
}

void HttpListener::parse(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    if (connection.input.empty()) {
        return;
    }
    if (!connection.isReadingRequest) {
        connection.isReadingRequest = true;
        connection.waitingSince = Loop::now();
        connection.request = HttpIncomingRequest();
        connection.request.arrived = connection.waitingSince;
        connection.reader = std::make_unique<HttpRequestReader>(
            m_limits.read,
            [this, id](const HttpHead &head) {
                Connection &current = m_connections.at(id);
                current.request.head = head;
                if (head.hasToken("Expect", "100-continue")) {
                    current.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
                }
            },
            [this, id](std::string_view data) {
                m_connections.at(id).request.body.append(data);
            });
    }
    switch (connection.reader->read(connection.input)) {
    case HttpReadState::NeedsMore:
        return;
    case HttpReadState::Done:
        dispatch(id, connection);
        return;
    case HttpReadState::HeaderTooLarge:
        reject(id, 431);
        return;
    case HttpReadState::BodyTooLarge:
        reject(id, 413);
        return;
    case HttpReadState::Malformed:
        reject(id, 400);
        return;
    }
}

void HttpListener::dispatch(ConnectionId id, Connection &connection)
{
    connection.isReadingRequest = false;
    connection.closesAfterResponse = !connection.reader->isKeepAlive() || m_isStopping;
    connection.readsChunks = !connection.reader->isHttp10();
    connection.reader.reset();
    const ExchangeId exchange = ++m_lastId;
    connection.exchange = exchange;
    m_exchanges[exchange] = id;
    HttpIncomingRequest request = std::move(connection.request);
    connection.request = HttpIncomingRequest();
    m_requestHandler(exchange, std::move(request));
}

void HttpListener::reject(ConnectionId id, int status)
{
    Connection &connection = m_connections.at(id);
    HttpHead head;
    head.status = status;
    head.reason = "Rejected";
    head.set("Content-Length", "0");
    head.set("Connection", "close");
    connection.isClosing = true;
    connection.socket->write(head.serializeResponse() + "\r\n");
    if (connection.socket->bufferedBytes() == 0) {
        removeConnection(id);
    }
}

HttpListener::Connection *HttpListener::connectionOf(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &m_connections.at(found->second);
}

void HttpListener::prepareResponse(Connection &connection, HttpHead &head)
{
    connection.closesAfterResponse = connection.closesAfterResponse || m_isStopping;
    if (connection.closesAfterResponse) {
        head.set("Connection", "close");
    }
}

void HttpListener::respond(ExchangeId id, HttpHead head, std::string_view body)
{
    Connection *connection = connectionOf(id);
    if (connection == nullptr) {
        return;
    }
    prepareResponse(*connection, head);
    head.set("Content-Length", std::to_string(body.size()));
    connection->isChunked = false;
    connection->socket->write(head.serializeResponse() + "\r\n" + std::string(body));
    finish(id);
}

void HttpListener::begin(ExchangeId id, HttpHead head, HttpBodyFraming framing, std::int64_t length)
{
    Connection *connection = connectionOf(id);
    if (connection == nullptr) {
        return;
    }
    connection->isChunked = framing == HttpBodyFraming::Chunked && connection->readsChunks;
    const bool endsWithConnection = framing != HttpBodyFraming::Length && !connection->isChunked;
    connection->closesAfterResponse = connection->closesAfterResponse || endsWithConnection;
    prepareResponse(*connection, head);
    if (connection->isChunked) {
        head.set("Transfer-Encoding", "chunked");
    } else if (!endsWithConnection) {
        head.set("Content-Length", std::to_string(length));
    }
    connection->socket->write(head.serializeResponse() + "\r\n");
}

void HttpListener::write(ExchangeId id, std::string_view data)
{
    Connection *connection = connectionOf(id);
    if (connection == nullptr || data.empty()) {
        return;
    }
    if (!connection->isChunked) {
        connection->socket->write(data);
        return;
    }
    std::string chunk = chunkHeader(data.size());
    chunk.append(data);
    chunk += "\r\n";
    connection->socket->write(chunk);
}

void HttpListener::finish(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    const ConnectionId connectionId = found->second;
    Connection &connection = m_connections.at(connectionId);
    if (connection.isChunked) {
        connection.socket->write("0\r\n\r\n");
        connection.isChunked = false;
    }
    m_exchanges.erase(found);
    connection.exchange = 0;
    completeExchange(connectionId);
}

void HttpListener::completeExchange(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    connection.waitingSince = Loop::now();
    if (connection.closesAfterResponse) {
        connection.isClosing = true;
        if (connection.socket->bufferedBytes() == 0) {
            removeConnection(id);
        }
        return;
    }
    connection.socket->resumeReading();
    if (!connection.input.empty()) {
        // Parses from the event loop, so that a series of pipelined requests does not recurse.
        m_loop.timers().subscribeOnce(Duration::zero(), [this, id](TimePoint) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && found->second.exchange == 0 && !found->second.isClosing) {
                parse(id);
            }
        });
    }
}

void HttpListener::abort(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    const ConnectionId connectionId = found->second;
    m_exchanges.erase(found);
    Connection &connection = m_connections.at(connectionId);
    connection.exchange = 0;
    const std::shared_ptr<TcpSocket> socket(std::move(connection.socket));
    socket->abort();
    m_connections.erase(connectionId);
    m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
}

void HttpListener::removeConnection(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const ExchangeId exchange = found->second.exchange;
    // This function may be called from a handler of the socket, so the socket is destroyed in the next loop iteration.
    std::shared_ptr<TcpSocket> socket(std::move(found->second.socket));
    m_connections.erase(found);
    socket->close();
    m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
    if (exchange != 0) {
        m_exchanges.erase(exchange);
        if (m_disconnectHandler) {
            m_disconnectHandler(exchange);
        }
    }
}

void HttpListener::closeExpired(TimePoint now)
{
    std::vector<ConnectionId> expired;
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        const Connection &connection = entry.second;
        const Duration limit = connection.isReadingRequest ? m_limits.headerTimeout : m_limits.idleTimeout;
        if (connection.exchange == 0 && now - connection.waitingSince > limit) {
            expired.push_back(entry.first);
        }
    }
    for (const ConnectionId id : expired) {
        Connection &connection = m_connections.at(id);
        if (connection.isReadingRequest && !connection.isClosing) {
            reject(id, 408);
        } else {
            removeConnection(id);
        }
    }
}

std::size_t HttpListener::bufferedBytes(ExchangeId id)
{
    const Connection *connection = connectionOf(id);
    return connection == nullptr ? 0 : connection->socket->bufferedBytes();
}

void HttpListener::beginStop()
{
    m_isStopping = true;
}

void HttpListener::closeIdle()
{
    std::vector<ConnectionId> idle;
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        if (entry.second.exchange == 0 && !entry.second.isReadingRequest) {
            idle.push_back(entry.first);
        }
    }
    for (const ConnectionId id : idle) {
        removeConnection(id);
    }
}

std::size_t HttpListener::openExchanges() const
{
    return m_exchanges.size();
}

}
