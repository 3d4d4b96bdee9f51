#include "drivers/httppool.h"

#include "core/longbuffer.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

// Used if the server sends no Keep-Alive timeout. Shorter than the defaults of common servers,
// so that the pool closes an idle connection before the server does.
constexpr Duration defaultKeepAliveTimeout = std::chrono::seconds(4);

// Subtracted from the server's Keep-Alive timeout: the server starts its timer before the response arrives here.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);

constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(500);
constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;
// Responses with a lower status are interim (RFC 9110, 15.2).
constexpr int firstFinalStatus = 200;

// Interim responses and responses to earlier requests are skipped up to this size. A server in trouble may send more without end.
constexpr std::size_t maxSkippedBytes = 1024 * 1024;
// A response takes far more processor time than its bytes do, and they can be short. Servers send a few interim ones at most.
constexpr std::size_t maxSkippedResponses = 32;

constexpr std::uint64_t unlimitedBodyBytes = std::numeric_limits<std::uint64_t>::max();

constexpr std::size_t maxCopiedBytes = 1024;

// A head is held twice: by its reader, and by the caller of the pool.
constexpr std::size_t headCopies = 2;

std::size_t memoryOf(const HttpHead &head)
{
    std::size_t bytes = head.reason.size() + head.fields.capacity() * sizeof(HttpHead::Field);
    for (const HttpHead::Field &field : head.fields) {
        bytes += field.first.size() + field.second.size();
    }
    return bytes * headCopies;
}

Duration keepAliveTimeoutOf(const HttpHead &head)
{
    const std::string *keepAlive = head.find("Keep-Alive");
    const std::string_view parameter = "timeout=";
    const std::size_t position = keepAlive == nullptr ? std::string::npos : keepAlive->find(parameter);
    if (position == std::string::npos) {
        return defaultKeepAliveTimeout;
    }
    int seconds = 0;
    const char *start = keepAlive->data() + position + parameter.size();
    if (std::from_chars(start, keepAlive->data() + keepAlive->size(), seconds).ec != std::errc()) {
        return defaultKeepAliveTimeout;
    }
    return std::chrono::seconds(seconds) - keepAliveMargin;
}

}

const char *breakCauseName(HttpBreakCause cause)
{
    switch (cause) {
    case HttpBreakCause::None:
        return "none";
    case HttpBreakCause::Reset:
        return "reset";
    case HttpBreakCause::EndedEarly:
        return "ended early";
    case HttpBreakCause::Malformed:
        return "malformed";
    case HttpBreakCause::GivenUp:
        return "given up";
    case HttpBreakCause::MemoryBound:
        return "memory bound";
    }
    return "";
}

HttpPool::HttpPool(Loop &loop)
    : m_loop(loop)
{
    loop.timers().subscribe(expiryCheckPeriod, [this](TimePoint now) {
        closeExpired(now);
    });
}

HttpPool::ConnectionId HttpPool::takeIdleConnection(const HttpCall &call)
{
    const auto found = m_idleConnections.find(call.poolKey);
    if (found == m_idleConnections.end() || found->second.empty()) {
        return 0;
    }
    // Reuses the most recently used connection, so that surplus ones expire.
    const ConnectionId id = found->second.back();
    const Connection &connection = m_connections.at(id);
    if (Loop::now() - connection.idleSince >= std::min(call.maxIdle, connection.keepAliveTimeout)) {
        return 0;
    }
    found->second.pop_back();
    return id;
}

HttpPool::ConnectionId HttpPool::openConnection(const HttpCall &call)
{
    const ConnectionId id = ++m_lastId;
    TcpSocket::Handlers handlers;
    handlers.onConnected = [this, id]() {
        m_connections.at(id).isConnected = true;
        m_loop.timers().unsubscribe(m_connections.at(id).connectTimer);
        sendRequest(id);
    };
    handlers.onData = [this, id](std::string_view data) {
        receive(id, data);
    };
    handlers.onEnd = [this, id](SocketCloseReason reason) {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        Connection &connection = found->second;
        const bool isFinished = reason == SocketCloseReason::Finished;
        // An end without a mark is not trusted before the request has been sent: whether it or a reset is seen first is chance.
        const bool isRequestSent = connection.hasSent && connection.socket->bufferedBytes() == 0;
        const bool isComplete
            = isFinished && isRequestSent && connection.reader != nullptr && !connection.isDiscarding && connection.reader->finishAtEof();
        closeConnection(id, isComplete ? HttpCallResult::Complete : (connection.hasSent ? HttpCallResult::Broken : HttpCallResult::NotSent),
                        isFinished ? HttpBreakCause::EndedEarly : HttpBreakCause::Reset);
    };
    Connection &connection = m_connections[id];
    connection.key = call.poolKey;
    connection.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
    ++m_openedCount;
    const bool isStarted = connection.socket->connect(call.target);
    connection.connectTimer = m_loop.timers().subscribeOnce(isStarted ? call.connectTimeout : Duration::zero(), [this, id](TimePoint) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && !found->second.isConnected) {
            closeConnection(id, HttpCallResult::NotSent);
        }
    });
    return id;
}

HttpPool::CallId HttpPool::send(HttpCall call, Handlers handlers)
{
    ConnectionId id = takeIdleConnection(call);
    if (id == 0) {
        id = openConnection(call);
    }
    Connection &connection = m_connections.at(id);
    const CallId callId = ++m_lastId;
    connection.call = callId;
    connection.request = std::move(call);
    connection.handlers = std::make_shared<const Handlers>(std::move(handlers));
    connection.hasSent = false;
    connection.handlerBytes = 0;
    m_calls[callId] = id;
    if (connection.isConnected) {
        sendRequest(id);
    }
    return callId;
}

HttpPool::CallId HttpPool::fetch(HttpCall call, Duration timeout, const BodyHandler &onDone)
{
    struct Response
    {
        HttpHead head;
        std::string body;
        TimerService::TimerId timer = 0;
        CallId id = 0;
    };
    const std::shared_ptr<Response> response = std::make_shared<Response>();
    Handlers handlers;
    handlers.onHead = [response](const HttpHead &head, HttpBodyFraming, std::int64_t) {
        response->head = head;
    };
    const std::size_t maxBytes = call.maxFetchedBytes;
    handlers.onEnd = [this, response, onDone](HttpCallResult result, HttpBreakCause) {
        m_loop.timers().unsubscribe(response->timer);
        onDone(result, response->head, response->body);
    };
    handlers.onData = [this, response, maxBytes](std::string_view data) {
        if (response->body.size() + data.size() > maxBytes) {
            breakOff(response->id);
            return;
        }
        response->body.append(data);
        recordHeld(response->id, response->body.size());
    };
    const CallId id = send(std::move(call), std::move(handlers));
    response->id = id;
    response->timer = m_loop.timers().subscribeOnce(timeout, [this, id, response, onDone](TimePoint) {
        cancel(id);
        onDone(HttpCallResult::Broken, HttpHead(), std::string());
    });
    return id;
}

void HttpPool::sendRequest(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    if (connection.call == 0) {
        return;
    }
    startReader(id);
    connection.hasSent = true;
    connection.skippedBytes = 0;
    connection.skippedResponses = 0;
    HttpHead &head = connection.request.head;
    if (!connection.request.body.empty() || (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE")) {
        head.set("Content-Length", std::to_string(connection.request.body.size()));
    }
    std::string bytes = head.serializeRequest() + "\r\n";
    bytes += connection.request.body;
    releaseLong(connection.request.body);
    connection.socket->write(bytes);
}

void HttpPool::startReader(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    connection.isDiscarding = false;
    connection.headBytes = 0;
    HttpReadLimits limits;
    limits.maxHeaderBytes = maxResponseHeaderBytes;
    limits.maxBodyBytes = unlimitedBodyBytes;
    connection.reader = std::make_shared<HttpResponseReader>(
        limits,
        [this, id](const HttpHead &head) {
            const auto found = m_connections.find(id);
            if (found == m_connections.end()) {
                return;
            }
            Connection &current = found->second;
            current.headBytes = memoryOf(head);
            const std::string &echo = current.request.echoHeader;
            const std::string *echoed = echo.empty() ? nullptr : head.find(echo);
            if (current.isReused && !echo.empty() && echoed == nullptr && head.status >= firstFinalStatus) {
                // It may be the response to an earlier request.
                closeConnection(id, HttpCallResult::Broken, HttpBreakCause::Malformed);
                return;
            }
            current.isDiscarding = head.status < firstFinalStatus || (echoed != nullptr && *echoed != current.request.head.value(echo));
            if (!current.isDiscarding) {
                const std::shared_ptr<const Handlers> handlers = current.handlers;
                handlers->onHead(head, current.reader->framing(), current.reader->contentLength());
            }
        },
        [this, id](std::string_view data) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && found->second.call != 0 && !found->second.isDiscarding) {
                const std::shared_ptr<const Handlers> handlers = found->second.handlers;
                handlers->onData(data);
            }
        });
}

void HttpPool::receive(ConnectionId id, std::string_view data)
{
    readResponses(id, data);
    enforceBound();
}

void HttpPool::countHeld(const Connection &connection)
{
    if (connection.call != 0 && connection.request.isHeldBytesCounted) {
        m_responses.record(connection.call, connection.input.size() + connection.headBytes + connection.handlerBytes);
    }
}

void HttpPool::enforceBound()
{
    std::optional<ResponseBudget::ResponseId> largest = m_responses.largestBeyondBound();
    for (; largest.has_value(); largest = m_responses.largestBeyondBound()) {
        const std::size_t heldBytes = m_responses.heldBytes(*largest);
        const std::shared_ptr<const Handlers> handlers = m_connections.at(m_calls.at(*largest)).handlers;
        if (handlers->onMemoryNeeded) {
            handlers->onMemoryNeeded();
        }
        const auto found = m_calls.find(*largest);
        if (found != m_calls.end() && m_responses.heldBytes(*largest) >= heldBytes) {
            closeConnection(found->second, HttpCallResult::Broken, HttpBreakCause::MemoryBound);
        }
    }
}

void HttpPool::readResponses(ConnectionId id, std::string_view data)
{
    const auto first = m_connections.find(id);
    if (first == m_connections.end()) {
        return;
    }
    if (first->second.call == 0 || first->second.reader == nullptr) {
        // Unsolicited data on an idle connection can't be matched to a request.
        closeConnection(id, HttpCallResult::Broken);
        return;
    }
    appendLong(first->second.input, data);
    if (first->second.isDiscarding || !first->second.reader->hasHead()) {
        first->second.skippedBytes += data.size();
    }
    if (first->second.skippedBytes > maxSkippedBytes) {
        closeConnection(id, HttpCallResult::Broken, HttpBreakCause::Malformed);
        return;
    }
    while (true) {
        Connection &connection = m_connections.at(id);
        // A handler may end the call and the connection; the reader and its input stay until read() returns.
        const std::shared_ptr<HttpResponseReader> reader = connection.reader;
        std::string input = std::move(connection.input);
        const HttpReadState state = reader->read(input);
        if (m_connections.count(id) == 0) {
            return;
        }
        if (!reader->hasHead()) {
            connection.headBytes = memoryOf(reader->head());
        }
        // A connection whose input has been read, but for the start of a chunk, keeps no memory for it.
        connection.input = input.size() < maxCopiedBytes ? std::string(input) : std::move(input);
        countHeld(connection);
        if (state == HttpReadState::NeedsMore) {
            return;
        }
        if (state != HttpReadState::Done) {
            closeConnection(id, HttpCallResult::Broken, HttpBreakCause::Malformed);
            return;
        }
        if (!connection.isDiscarding) {
            completeCall(id);
            return;
        }
        if (!reader->isKeepAlive() && connection.reader->head().status >= firstFinalStatus) {
            closeConnection(id, HttpCallResult::Broken, HttpBreakCause::EndedEarly);
            return;
        }
        if (++connection.skippedResponses > maxSkippedResponses) {
            closeConnection(id, HttpCallResult::Broken, HttpBreakCause::Malformed);
            return;
        }
        startReader(id);
        if (connection.input.empty()) {
            return;
        }
    }
}

void HttpPool::completeCall(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    const std::shared_ptr<HttpResponseReader> reader = connection.reader;
    if (!reader->isKeepAlive() || !connection.input.empty() || connection.socket->bufferedBytes() > 0) {
        closeConnection(id, HttpCallResult::Complete);
        return;
    }
    const std::shared_ptr<const Handlers> handlers = std::move(connection.handlers);
    m_calls.erase(connection.call);
    m_responses.remove(connection.call);
    connection.call = 0;
    connection.handlers.reset();
    connection.reader.reset();
    connection.request = HttpCall();
    connection.isReused = true;
    connection.socket->resumeReading();
    connection.idleSince = Loop::now();
    connection.keepAliveTimeout = keepAliveTimeoutOf(reader->head());
    m_idleConnections[connection.key].push_back(id);
    handlers->onEnd(HttpCallResult::Complete, HttpBreakCause::None);
}

void HttpPool::closeConnection(ConnectionId id, HttpCallResult result, HttpBreakCause cause)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = found->second;
    m_loop.timers().unsubscribe(connection.connectTimer);
    const auto idle = m_idleConnections.find(connection.key);
    if (idle != m_idleConnections.end()) {
        idle->second.remove(id);
        if (idle->second.empty()) {
            m_idleConnections.erase(idle);
        }
    }
    const CallId call = connection.call;
    const std::shared_ptr<const Handlers> handlers = std::move(connection.handlers);
    // This function may be called from a handler of the socket, so the socket is destroyed in the next loop iteration.
    const std::shared_ptr<TcpSocket> socket(std::move(connection.socket));
    m_connections.erase(found);
    m_calls.erase(call);
    m_responses.remove(call);
    if (call != 0 && result != HttpCallResult::Complete) {
        // A reset also discards output that has not reached the server yet.
        socket->abort();
    } else {
        socket->close();
    }
    m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
    if (call != 0 && handlers != nullptr && handlers->onEnd) {
        handlers->onEnd(result, result == HttpCallResult::Broken ? cause : HttpBreakCause::None);
    }
}

void HttpPool::breakOff(CallId id)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end()) {
        closeConnection(found->second, HttpCallResult::Broken, HttpBreakCause::GivenUp);
    }
}

void HttpPool::cancel(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Connection &connection = m_connections.at(found->second);
    connection.handlers.reset();
    closeConnection(found->second, HttpCallResult::Broken);
}

HttpPool::Connection *HttpPool::connectionOf(CallId call)
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : &m_connections.at(found->second);
}

void HttpPool::pause(CallId id)
{
    Connection *connection = connectionOf(id);
    if (connection != nullptr) {
        connection->socket->pauseReading();
    }
}

void HttpPool::resume(CallId id)
{
    Connection *connection = connectionOf(id);
    if (connection != nullptr) {
        connection->socket->resumeReading();
    }
}

void HttpPool::recordHeld(CallId id, std::size_t bytes)
{
    Connection *connection = connectionOf(id);
    if (connection != nullptr) {
        connection->handlerBytes = bytes;
        countHeld(*connection);
    }
}

void HttpPool::setMaxHeldBytes(std::size_t bytes)
{
    m_responses.setMaxBytes(bytes);
}

std::size_t HttpPool::heldBytes() const
{
    return m_responses.totalBytes();
}

bool HttpPool::isUnderPressure() const
{
    return m_responses.isUnderPressure();
}

void HttpPool::closeIdle(const std::string &poolKey)
{
    const auto found = m_idleConnections.find(poolKey);
    if (found == m_idleConnections.end()) {
        return;
    }
    const std::list<ConnectionId> idle = found->second;
    for (const ConnectionId id : idle) {
        closeConnection(id, HttpCallResult::Broken);
    }
}

void HttpPool::closeExpired(TimePoint now)
{
    std::vector<ConnectionId> expired;
    for (const std::pair<const std::string, std::list<ConnectionId>> &entry : m_idleConnections) {
        for (const ConnectionId id : entry.second) {
            const Connection &connection = m_connections.at(id);
            if (now - connection.idleSince >= connection.keepAliveTimeout) {
                expired.push_back(id);
            }
        }
    }
    for (const ConnectionId id : expired) {
        closeConnection(id, HttpCallResult::Broken);
    }
}

std::size_t HttpPool::bufferedBytes() const
{
    std::size_t bytes = 0;
    for (const std::pair<const ConnectionId, Connection> &entry : m_connections) {
        bytes += entry.second.request.body.size() + entry.second.socket->bufferedBytes();
    }
    return bytes;
}

std::uint64_t HttpPool::openedConnections() const
{
    return m_openedCount;
}

}
