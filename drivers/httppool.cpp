#include "drivers/httppool.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

// Used where the other side states no time: shorter than common server defaults.
constexpr Duration defaultIdleLimit = std::chrono::seconds(4);

// What the other side may count differently: its clock started before ours.
constexpr Duration idleMargin = std::chrono::milliseconds(700);

constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(500);
constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
// Answers below this status are interim (RFC 9110, 15.2).
constexpr int firstFinalStatus = 200;
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

Duration idleLimitOf(const HttpHead &head)
{
    const std::string *keepAlive = head.find("Keep-Alive");
    const std::string_view mark = "timeout=";
    const std::size_t position = keepAlive == nullptr ? std::string::npos : keepAlive->find(mark);
    if (position == std::string::npos) {
        return defaultIdleLimit;
    }
    int seconds = 0;
    const char *start = keepAlive->data() + position + mark.size();
    if (std::from_chars(start, keepAlive->data() + keepAlive->size(), seconds).ec != std::errc()) {
        return defaultIdleLimit;
    }
    return std::chrono::seconds(seconds) - idleMargin;
}

}

HttpPool::HttpPool(Loop &loop)
    : m_loop(loop)
{
    loop.timers().subscribe(expiryCheckPeriod, [this](TimePoint now) {
        closeExpired(now);
    });
}

HttpPool::ConnectionId HttpPool::takeIdle(const HttpCall &call)
{
    const auto found = m_idle.find(call.poolKey);
    if (found == m_idle.end() || found->second.empty()) {
        return 0;
    }
    // The newest first: the old ones run out and close.
    const ConnectionId id = found->second.back();
    const Connection &connection = m_connections.at(id);
    if (Loop::now() - connection.idleSince >= std::min(call.maxIdle, connection.idleLimit)) {
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
    handlers.onEnd = [this, id](SocketEnd how) {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        Connection &connection = found->second;
        const bool isWhole
            = how == SocketEnd::Finished && connection.reader != nullptr && !connection.isSkipping && connection.reader->finishAtEnd();
        closeConnection(id, isWhole ? HttpCallEnd::Complete : (connection.hasSent ? HttpCallEnd::Broken : HttpCallEnd::NotSent));
    };
    Connection &connection = m_connections[id];
    connection.key = call.poolKey;
    connection.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
    ++m_opened;
    const bool isStarted = connection.socket->connect(call.target);
    connection.connectTimer = m_loop.timers().subscribeOnce(isStarted ? call.connectTimeout : Duration::zero(), [this, id](TimePoint) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && !found->second.isConnected) {
            closeConnection(id, HttpCallEnd::NotSent);
        }
    });
    return id;
}

HttpPool::CallId HttpPool::send(HttpCall call, Handlers handlers)
{
    ConnectionId id = takeIdle(call);
    if (id == 0) {
        id = openConnection(call);
    }
    Connection &connection = m_connections.at(id);
    const CallId callId = ++m_lastId;
    connection.call = callId;
    connection.request = std::move(call);
    connection.handlers = std::move(handlers);
    connection.hasSent = false;
    m_calls[callId] = id;
    if (connection.isConnected) {
        sendRequest(id);
    }
    return callId;
}

HttpPool::CallId HttpPool::fetch(HttpCall call, Duration timeout, const BodyHandler &onDone)
{
    struct Fetch
    {
        HttpHead head;
        std::string body;
        TimerService::TimerId timer = 0;
    };
    const std::shared_ptr<Fetch> fetch = std::make_shared<Fetch>();
    Handlers handlers;
    handlers.onHead = [fetch](const HttpHead &head, std::int64_t) {
        fetch->head = head;
    };
    handlers.onData = [fetch](std::string_view data) {
        fetch->body.append(data);
    };
    handlers.onEnd = [this, fetch, onDone](HttpCallEnd end) {
        m_loop.timers().unsubscribe(fetch->timer);
        onDone(end, fetch->head, fetch->body);
    };
    const CallId id = send(std::move(call), std::move(handlers));
    fetch->timer = m_loop.timers().subscribeOnce(timeout, [this, id, fetch, onDone](TimePoint) {
        cancel(id);
        onDone(HttpCallEnd::Broken, HttpHead(), std::string());
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
    HttpHead &head = connection.request.head;
    if (!connection.request.body.empty() || (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE")) {
        head.set("Content-Length", std::to_string(connection.request.body.size()));
    }
    connection.socket->write(head.serializeRequest() + "\r\n" + connection.request.body);
    connection.request.body = std::string();
}

void HttpPool::startReader(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    connection.isSkipping = false;
    HttpReadLimits limits;
    limits.maxHeaderBytes = maxAnswerHeaderBytes;
    limits.maxBodyBytes = unlimitedBody;
    connection.reader = std::make_shared<HttpResponseReader>(
        limits,
        [this, id](const HttpHead &head) {
            const auto found = m_connections.find(id);
            if (found == m_connections.end()) {
                return;
            }
            Connection &reading = found->second;
            const std::string &echo = reading.request.echoHeader;
            const std::string *repeated = echo.empty() ? nullptr : head.find(echo);
            reading.isSkipping = head.status < firstFinalStatus || (repeated != nullptr && *repeated != reading.request.head.value(echo));
            if (!reading.isSkipping) {
                reading.handlers.onHead(head, reading.reader->statedLength());
            }
        },
        [this, id](std::string_view data) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && found->second.call != 0 && !found->second.isSkipping) {
                found->second.handlers.onData(data);
            }
        });
}

void HttpPool::receive(ConnectionId id, std::string_view data)
{
    const auto first = m_connections.find(id);
    if (first == m_connections.end()) {
        return;
    }
    if (first->second.call == 0 || first->second.reader == nullptr) {
        // Bytes that no request asked for belong to none.
        closeConnection(id, HttpCallEnd::Broken);
        return;
    }
    first->second.input.append(data);
    while (true) {
        Connection &connection = m_connections.at(id);
        // A handler may end the call; the reader lives until it returns.
        const std::shared_ptr<HttpResponseReader> reader = connection.reader;
        const HttpReadState state = reader->read(connection.input);
        if (m_connections.count(id) == 0) {
            return;
        }
        if (state == HttpReadState::NeedsMore) {
            return;
        }
        if (state != HttpReadState::Done) {
            closeConnection(id, HttpCallEnd::Broken);
            return;
        }
        if (!connection.isSkipping) {
            finishAnswer(id);
            return;
        }
        if (!reader->keepsAlive() && connection.reader->head().status >= firstFinalStatus) {
            closeConnection(id, HttpCallEnd::Broken);
            return;
        }
        startReader(id);
        if (connection.input.empty()) {
            return;
        }
    }
}

void HttpPool::finishAnswer(ConnectionId id)
{
    Connection &connection = m_connections.at(id);
    const std::shared_ptr<HttpResponseReader> reader = connection.reader;
    if (!reader->keepsAlive() || !connection.input.empty() || connection.socket->bufferedBytes() > 0) {
        closeConnection(id, HttpCallEnd::Complete);
        return;
    }
    const Handlers handlers = std::move(connection.handlers);
    m_calls.erase(connection.call);
    connection.call = 0;
    connection.handlers = Handlers();
    connection.reader.reset();
    connection.request = HttpCall();
    connection.socket->resumeReading();
    connection.idleSince = Loop::now();
    connection.idleLimit = idleLimitOf(reader->head());
    m_idle[connection.key].push_back(id);
    handlers.onEnd(HttpCallEnd::Complete);
}

void HttpPool::closeConnection(ConnectionId id, HttpCallEnd end)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = found->second;
    m_loop.timers().unsubscribe(connection.connectTimer);
    const auto idle = m_idle.find(connection.key);
    if (idle != m_idle.end()) {
        idle->second.remove(id);
        if (idle->second.empty()) {
            m_idle.erase(idle);
        }
    }
    const CallId call = connection.call;
    const Handlers handlers = std::move(connection.handlers);
    // The socket or its reader may be the caller of this function; both go with the next round.
    const std::shared_ptr<TcpSocket> socket(std::move(connection.socket));
    m_connections.erase(found);
    m_calls.erase(call);
    if (call != 0 && end != HttpCallEnd::Complete) {
        // A reset also takes back what has not reached the other side yet.
        socket->abortOnClose();
    } else {
        socket->close();
    }
    m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
    if (call != 0 && handlers.onEnd) {
        handlers.onEnd(end);
    }
}

void HttpPool::cancel(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Connection &connection = m_connections.at(found->second);
    connection.handlers = Handlers();
    closeConnection(found->second, HttpCallEnd::Broken);
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

void HttpPool::forget(const std::string &poolKey)
{
    const auto found = m_idle.find(poolKey);
    if (found == m_idle.end()) {
        return;
    }
    const std::list<ConnectionId> idle = found->second;
    for (const ConnectionId id : idle) {
        closeConnection(id, HttpCallEnd::Broken);
    }
}

void HttpPool::closeExpired(TimePoint now)
{
    std::vector<ConnectionId> expired;
    for (const std::pair<const std::string, std::list<ConnectionId>> &entry : m_idle) {
        for (const ConnectionId id : entry.second) {
            const Connection &connection = m_connections.at(id);
            if (now - connection.idleSince >= connection.idleLimit) {
                expired.push_back(id);
            }
        }
    }
    for (const ConnectionId id : expired) {
        closeConnection(id, HttpCallEnd::Broken);
    }
}

std::uint64_t HttpPool::openedConnections() const
{
    return m_opened;
}

}
