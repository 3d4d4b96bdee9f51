#include "drivers/httplistener.h"

#include "core/longbuffer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <vector>

#include <unistd.h>

namespace citronspar
{

namespace
{

constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(500);

// Requests that wait for the budget are read on after at most this long once there is room.
constexpr Duration budgetCheckPeriod = std::chrono::milliseconds(100);

// Pipelined input that is buffered behind a request; near the bound of the budget only the smaller amount.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
constexpr std::size_t maxPipelinedBytesNearBound = 4 * 1024;

// An answered connection may be closed for a new one after this long without a request. Callers that send at intervals of less
// than that keep theirs.
constexpr Duration minIdleTimeOfAnswered = std::chrono::seconds(2);

// Output to clients may take this part of the budget before the slowest reader is given up.
constexpr std::size_t outputFraction = 2;

/** Memory that the head takes once it is parsed. */
std::size_t headBytes(const HttpHead &head)
{
    std::size_t bytes = head.method.size() + head.target.size();
    for (const HttpHead::Field &field : head.fields) {
        bytes += sizeof(HttpHead::Field) + field.first.size() + field.second.size();
    }
    return bytes;
}

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
    m_budgetTimer = loop.timers().subscribe(budgetCheckPeriod, [this](TimePoint) {
        applyBudget();
    });
}

HttpListener::~HttpListener()
{
    m_loop.timers().unsubscribe(m_budgetTimer);
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

HttpListener::Limits HttpListener::probeLimits()
{
    // The platform's checks and scrapers send a line and a few fields, one at a time.
    constexpr std::uint32_t maxProbeHeaderBytes = 8 * 1024;
    constexpr std::uint64_t maxProbeBodyBytes = 4 * 1024;
    constexpr std::size_t maxProbeConnections = 16;
    Limits limits;
    limits.read.maxHeaderBytes = maxProbeHeaderBytes;
    limits.read.maxBodyBytes = maxProbeBodyBytes;
    limits.maxConnections = maxProbeConnections;
    return limits;
}

void HttpListener::setMaxHeldBytes(std::size_t bytes)
{
    m_budget.setMaxBytes(bytes);
}

void HttpListener::setOtherOutputBytes(std::size_t bytes)
{
    m_otherOutputBytes = bytes;
}

void HttpListener::onRefused(RefusalHandler handler)
{
    m_refusalHandler = std::move(handler);
}

std::size_t HttpListener::heldBytes() const
{
    return m_budget.totalBytes();
}

const HttpListener::Refusal &HttpListener::refusalOf(RefusalReason reason)
{
    static const std::map<RefusalReason, Refusal> refusals = {
        {RefusalReason::Memory, {"memory", 503}},
        {RefusalReason::RunningRequests, {"running requests", 503}},
        {RefusalReason::SlowReader, {"slow reader", 0}},
        {RefusalReason::Connections, {"connections", 0}},
        {RefusalReason::Incomplete, {"incomplete", 408}},
        {RefusalReason::HeaderTooLarge, {"header too large", 431}},
        {RefusalReason::BodyTooLarge, {"body too large", 413}},
        {RefusalReason::Malformed, {"malformed", 400}},
        {RefusalReason::UnknownCoding, {"unknown coding", 501}},
    };
    return refusals.at(reason);
}

const char *HttpListener::refusalName(RefusalReason reason)
{
    return refusalOf(reason).name;
}

void HttpListener::recordHeld(Connection &connection)
{
    const std::size_t bytes = connection.requestBytes + connection.input.size();
    if (connection.exchange != 0) {
        m_budget.recordRunning(connection.holder, bytes);
        return;
    }
    const std::int64_t length = connection.reader == nullptr || !connection.reader->hasHead() ? -1 : connection.reader->contentLength();
    const std::size_t expected = length < 0 ? m_limits.read.maxBodyBytes : static_cast<std::size_t>(length);
    m_budget.recordReceived(connection.holder, bytes, expected - std::min(expected, connection.request.body.size()), Loop::now());
}

void HttpListener::releaseHeld(Connection &connection)
{
    m_budget.remove(connection.holder);
    m_holders.erase(connection.holder);
    connection.holder = 0;
    connection.requestBytes = 0;
}

void HttpListener::refuse(ConnectionId id, RefusalReason reason)
{
    const std::size_t heldBytes = m_connections.at(id).requestBytes + m_connections.at(id).input.size();
    reject(id, refusalOf(reason).status);
    if (m_refusalHandler) {
        m_refusalHandler(reason, heldBytes);
    }
}

void HttpListener::refuseExcess()
{
    for (const IntakeBudget::HolderId holder : m_budget.refusable(Loop::now())) {
        const auto found = m_holders.find(holder);
        if (found != m_holders.end()) {
            refuse(found->second, RefusalReason::Memory);
        }
    }
}

void HttpListener::applyBudget()
{
    std::size_t outputBytes = m_otherOutputBytes;
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        outputBytes += entry.second.socket->bufferedBytes();
    }
    m_budget.setOutputBytes(outputBytes);
    refuseExcess();
    for (const IntakeBudget::HolderId holder : m_budget.resumable(Loop::now())) {
        const auto found = m_holders.find(holder);
        if (found != m_holders.end()) {
            m_connections.at(found->second).socket->resumeReading();
        }
    }
    if (outputBytes > m_budget.maxBytes() / outputFraction && m_budget.isBeyondBound()) {
        closeSlowestReader();
    }
}

void HttpListener::closeSlowestReader()
{
    ConnectionId slowest = 0;
    std::size_t mostBytes = 0;
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        if (entry.second.socket->bufferedBytes() > mostBytes) {
            slowest = entry.first;
            mostBytes = entry.second.socket->bufferedBytes();
        }
    }
    if (slowest != 0) {
        removeConnection(slowest);
        if (m_refusalHandler) {
            m_refusalHandler(RefusalReason::SlowReader, mostBytes);
        }
    }
}

bool HttpListener::makeRoom()
{
    ConnectionId idlest = 0;
    bool isIdlestAnswered = true;
    TimePoint since = TimePoint::max();
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        const Connection &connection = entry.second;
        const bool isAnswered = connection.hasBeenAnswered;
        const bool isUsed = isAnswered && (connection.isReadingRequest || Loop::now() - connection.waitingSince < minIdleTimeOfAnswered);
        if (connection.exchange != 0 || isUsed || (isAnswered && !isIdlestAnswered)) {
            continue;
        }
        if (isAnswered != isIdlestAnswered || connection.waitingSince < since) {
            idlest = entry.first;
            isIdlestAnswered = isAnswered;
            since = connection.waitingSince;
        }
    }
    if (idlest == 0) {
        return false;
    }
    removeConnection(idlest);
    return true;
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
    if (m_connections.size() >= m_limits.maxConnections) {
        const bool hasRoom = makeRoom();
        if (m_refusalHandler) {
            m_refusalHandler(RefusalReason::Connections, 0);
        }
        if (!hasRoom) {
            ::close(descriptor);
            return;
        }
    }
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
        recordHeld(connection);
        if (connection.input.size() > (m_budget.isNearBound() ? maxPipelinedBytesNearBound : maxPipelinedBytes)) {
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
        connection.requestBytes = 0;
        connection.holder = m_budget.add(connection.waitingSince);
        m_holders[connection.holder] = id;
        connection.reader = std::make_unique<HttpRequestReader>(
            m_limits.read,
            [this, id](const HttpHead &head) {
                Connection &current = m_connections.at(id);
                current.request.head = head;
                current.requestBytes += headBytes(head);
                if (head.hasToken("Expect", "100-continue")) {
                    current.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
                }
            },
            [this, id](std::string_view data) {
                Connection &current = m_connections.at(id);
                current.request.body.append(data);
                current.requestBytes += data.size();
            });
    }
    const HttpReadState state = connection.reader->read(connection.input);
    recordHeld(connection);
    switch (state) {
    case HttpReadState::NeedsMore:
        if (!m_budget.mayRead(connection.holder)) {
            connection.socket->pauseReading();
        }
        if (m_budget.isBeyondBound()) {
            refuseExcess();
        }
        return;
    case HttpReadState::Done:
        if (m_budget.start(connection.holder)) {
            dispatch(id, connection);
        } else {
            refuse(id, RefusalReason::RunningRequests);
        }
        return;
    case HttpReadState::HeaderTooLarge:
        refuse(id, RefusalReason::HeaderTooLarge);
        return;
    case HttpReadState::BodyTooLarge:
        refuse(id, RefusalReason::BodyTooLarge);
        return;
    case HttpReadState::Malformed:
        refuse(id, RefusalReason::Malformed);
        return;
    case HttpReadState::UnknownCoding:
        refuse(id, RefusalReason::UnknownCoding);
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
    releaseHeld(connection);
    connection.request = HttpIncomingRequest();
    releaseLong(connection.input);
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
    // The end of the connection will say that the response is complete, so it must not come from a killed process.
    connection->socket->setResetAtExit(endsWithConnection);
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
    connection.hasBeenAnswered = true;
    releaseHeld(connection);
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
    releaseHeld(connection);
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
    const bool isResponseCut = exchange != 0 || found->second.socket->bufferedBytes() > 0;
    releaseHeld(found->second);
    // This function may be called from a handler of the socket, so the socket is destroyed in the next loop iteration.
    std::shared_ptr<TcpSocket> socket(std::move(found->second.socket));
    m_connections.erase(found);
    if (isResponseCut) {
        socket->abort();
    } else {
        socket->close();
    }
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
            refuse(id, RefusalReason::Incomplete);
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
        const Connection &connection = entry.second;
        if (connection.exchange == 0 && !connection.isReadingRequest && connection.socket->bufferedBytes() == 0) {
            idle.push_back(entry.first);
        }
    }
    for (const ConnectionId id : idle) {
        removeConnection(id);
    }
}

std::size_t HttpListener::unsentResponses() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const std::pair<const ConnectionId, Connection> &entry) {
            return entry.second.exchange == 0 && entry.second.socket->bufferedBytes() > 0;
        }));
}

std::size_t HttpListener::openConnections() const
{
    return m_connections.size();
}

std::size_t HttpListener::openExchanges() const
{
    return m_exchanges.size();
}

}
