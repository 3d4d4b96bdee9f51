#include "drivers/tcpsocket.h"

#include "core/longbuffer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace citronspar
{

namespace
{

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr int listenBacklog = 512;

// Descriptors of closed connections are released in the next iteration of the loop, so few connections are accepted in each one.
constexpr int maxAcceptsPerEvent = 8;

// A host that loses power sends neither FIN nor RST. These options close a connection whose data stays
// unacknowledged or whose keep-alive probes fail. The units are those of the socket options.
constexpr int userTimeoutMilliseconds = 2000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

void setConnectionOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
}

sockaddr_in toSystemAddress(const SocketAddress &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/** Detaches the owner of @p wsi and lets libwebsockets close it, and the descriptor with it, from the event loop. */
void scheduleClose(lws *wsi)
{
    lws_set_opaque_user_data(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

}

TcpSocket::TcpSocket(Loop &loop, Handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
}

TcpSocket::~TcpSocket()
{
    *m_isAlive = false;
    releaseDescriptor(m_isResetAtExit);
}

bool TcpSocket::attach(int descriptor)
{
    m_descriptor = descriptor;
    m_wsi = m_loop.watch(descriptor, Loop::WatchKind::Socket, this);
    if (m_wsi == nullptr) {
        ::close(descriptor);
        m_descriptor = -1;
        return false;
    }
    return true;
}

bool TcpSocket::connect(const SocketAddress &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    setConnectionOptions(descriptor);
    const sockaddr_in target = toSystemAddress(address);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (result < 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return false;
    }
    m_isConnecting = true;
    if (!attach(descriptor)) {
        return false;
    }
    lws_callback_on_writable(m_wsi);
    return true;
}

bool TcpSocket::adopt(int descriptor)
{
    setConnectionOptions(descriptor);
    return attach(descriptor);
}

void TcpSocket::write(std::string_view data)
{
    if (m_isClosed || m_descriptor < 0) {
        return;
    }
    m_output.append(data);
    if (!m_isConnecting) {
        flush();
    }
}

void TcpSocket::flush()
{
    while (m_sentBytes < m_output.size()) {
        const ssize_t count = ::send(m_descriptor, m_output.data() + m_sentBytes, m_output.size() - m_sentBytes, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EINTR) {
                continue;
            }
            m_hasSendFailed = m_hasSendFailed || (errno != EAGAIN && errno != EWOULDBLOCK);
            // A connection error is reported by the next event, so that no
            // handler is called from within write().
            lws_callback_on_writable(m_wsi);
            break;
        }
        m_sentBytes += static_cast<std::size_t>(count);
    }
    if (m_sentBytes == m_output.size()) {
        releaseLong(m_output);
        m_sentBytes = 0;
    }
}

std::size_t TcpSocket::bufferedBytes() const
{
    return m_output.size() - m_sentBytes;
}

void TcpSocket::pauseReading()
{
    if (!m_isReadingPaused && m_wsi != nullptr) {
        m_isReadingPaused = true;
        lws_rx_flow_control(m_wsi, 0);
    }
}

void TcpSocket::resumeReading()
{
    if (m_isReadingPaused && m_wsi != nullptr) {
        m_isReadingPaused = false;
        lws_rx_flow_control(m_wsi, 1);
    }
}

void TcpSocket::setResetAtExit(bool isReset)
{
    if (m_isResetAtExit == isReset || m_descriptor < 0) {
        return;
    }
    m_isResetAtExit = isReset;
    // The kernel resets a connection that is closed with a linger time of zero, also when it closes it for a killed process.
    const linger option{isReset ? 1 : 0, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void TcpSocket::close()
{
    m_isClosed = true;
    setResetAtExit(false);
    releaseDescriptor(false);
}

void TcpSocket::abort()
{
    m_isClosed = true;
    setResetAtExit(true);
    releaseDescriptor(true);
}

void TcpSocket::releaseDescriptor(bool isAborted)
{
    if (m_wsi != nullptr) {
        if (!isAborted) {
            ::shutdown(m_descriptor, SHUT_RDWR);
        }
        scheduleClose(m_wsi);
        m_wsi = nullptr;
        m_descriptor = -1;
    }
}

void TcpSocket::closeAndNotify(SocketCloseReason reason)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    releaseDescriptor(m_isResetAtExit);
    if (m_handlers.onEnd) {
        m_handlers.onEnd(reason);
    }
}

void TcpSocket::readAvailable()
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    std::array<char, readBufferBytes> buffer;
    while (*isAlive && m_descriptor >= 0 && !m_isReadingPaused) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            m_handlers.onData(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
            if (count < static_cast<ssize_t>(buffer.size())) {
                return;
            }
            continue;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        closeAndNotify(count == 0 && !m_hasSendFailed ? SocketCloseReason::Finished : SocketCloseReason::Reset);
        return;
    }
}

void TcpSocket::handleWritable()
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        closeAndNotify(SocketCloseReason::Reset);
        return;
    }
    const std::shared_ptr<bool> isAlive = m_isAlive;
    if (m_hasSendFailed) {
        // What was received before the reset is still passed on.
        readAvailable();
        if (*isAlive && !m_isClosed && !m_isReadingPaused) {
            closeAndNotify(SocketCloseReason::Reset);
        }
        return;
    }
    if (m_isConnecting) {
        m_isConnecting = false;
        if (m_handlers.onConnected) {
            m_handlers.onConnected();
        }
        if (!*isAlive || m_descriptor < 0) {
            return;
        }
    }
    flush();
    if (!m_isClosed && m_output.empty() && m_handlers.onDrained) {
        m_handlers.onDrained();
    }
}

void TcpSocket::handleEvent(lws_callback_reasons reason)
{
    if (m_isClosed) {
        return;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        if (!m_isConnecting) {
            readAvailable();
        }
        return;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        handleWritable();
        return;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        m_wsi = nullptr;
        m_descriptor = -1;
        closeAndNotify(SocketCloseReason::Reset);
        return;
    default:
        return;
    }
}

TcpListener::TcpListener(Loop &loop, AcceptHandler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
}

TcpListener::~TcpListener()
{
    if (m_wsi != nullptr) {
        scheduleClose(m_wsi);
    }
}

bool TcpListener::open(const SocketAddress &address)
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        return false;
    }
    setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in local = toSystemAddress(address);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) < 0 || ::listen(m_descriptor, listenBacklog) < 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
        return false;
    }
    m_wsi = m_loop.watch(m_descriptor, Loop::WatchKind::Listener, this);
    if (m_wsi == nullptr) {
        ::close(m_descriptor);
        m_descriptor = -1;
        return false;
    }
    return true;
}

void TcpListener::acceptPending()
{
    for (int i = 0; i < maxAcceptsPerEvent; ++i) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        m_handler(descriptor);
    }
}

}
