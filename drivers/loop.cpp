#include "drivers/loop.h"

#include "drivers/tcpsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <ctime>

namespace citronspar
{

namespace
{

constexpr Duration maxSleep = std::chrono::seconds(1);

constexpr int maxPort = 65535;

// Longer than any request deadline, as callers set timeouts of their own.
constexpr unsigned int connectionTimeoutSeconds = 300;

}

Loop::Loop()
    : m_timers(now)
{
    m_wakeUpTimer.loop = this;
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.timeout_secs = connectionTimeoutSeconds;
    info.user = this;
    m_context.reset(lws_create_context(&info));
    m_watchProtocols[0].name = "socket";
    m_watchProtocols[0].callback = handleSocket;
    m_watchProtocols[1].name = "port";
    m_watchProtocols[1].callback = handleListener;
    lws_context_creation_info host{};
    host.port = CONTEXT_PORT_NO_LISTEN;
    host.protocols = m_watchProtocols;
    host.vhost_name = "watch";
    m_watchVhost = m_context == nullptr ? nullptr : lws_create_vhost(m_context.get(), &host);
}

Loop::~Loop()
{
    m_isClosing = true;
    m_context.reset();
}

bool Loop::isClosing(lws *socket)
{
    const Loop *loop = static_cast<const Loop *>(lws_context_user(lws_get_context(socket)));
    return loop == nullptr || loop->m_isClosing;
}

bool Loop::isInitialized() const
{
    return m_context != nullptr;
}

void Loop::scheduleWakeUp()
{
    const TimePoint currentTime = now();
    const TimePoint due = m_timers.nextDue().value_or(currentTime + maxSleep);
    const Duration delay = std::min(std::max(due - currentTime, Duration(1)), maxSleep);
    lws_sul_schedule(m_context.get(), 0, &m_wakeUpTimer.entry, handleWakeUp, delay.count());
}

void Loop::handleWakeUp(lws_sorted_usec_list_t *entry)
{
    // libwebsockets may call this before it waits for sockets. The timers run
    // here, because a wake-up that only interrupted the wait would have no
    // effect then and the timers would run late.
    Loop *loop = reinterpret_cast<WakeUpTimer *>(entry)->loop;
    loop->m_timers.run();
    loop->scheduleWakeUp();
}

void Loop::run()
{
    while (!m_isStopped) {
        scheduleWakeUp();
        if (lws_service(m_context.get(), 0) < 0) {
            break;
        }
    }
    m_isStopped = false;
}

void Loop::stop()
{
    m_isStopped = true;
    lws_cancel_service(m_context.get());
}

lws *Loop::watch(int descriptor, WatchKind kind, void *owner)
{
    lws_sock_file_fd_type file;
    file.filefd = descriptor;
    const char *protocol = kind == WatchKind::Socket ? "socket" : "port";
    lws *wsi = lws_adopt_descriptor_vhost(m_watchVhost, LWS_ADOPT_RAW_FILE_DESC, file, protocol, nullptr);
    if (wsi != nullptr) {
        lws_set_opaque_user_data(wsi, owner);
    }
    return wsi;
}

int Loop::handleSocket(lws *wsi, lws_callback_reasons reason, void *, void *, std::size_t)
{
    TcpSocket *socket = wsi == nullptr ? nullptr : static_cast<TcpSocket *>(lws_get_opaque_user_data(wsi));
    if (socket != nullptr && !isClosing(wsi)) {
        socket->handleEvent(reason);
    }
    return 0;
}

int Loop::handleListener(lws *wsi, lws_callback_reasons reason, void *, void *, std::size_t)
{
    TcpListener *listener = wsi == nullptr ? nullptr : static_cast<TcpListener *>(lws_get_opaque_user_data(wsi));
    if (listener != nullptr && reason == LWS_CALLBACK_RAW_RX_FILE && !isClosing(wsi)) {
        listener->acceptPending();
    }
    return 0;
}

lws_context *Loop::context() const
{
    return m_context.get();
}

TimerService &Loop::timers()
{
    return m_timers;
}

TimePoint Loop::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

std::chrono::microseconds Loop::wallNow()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

SocketAddress parseSocketAddress(const std::string &text)
{
    SocketAddress address;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return address;
    }
    address.host = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || address.port < 0 || address.port > maxPort) {
        address.port = 0;
    }
    return address;
}

bool isHostAddress(const std::string &host)
{
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || host.find('\0') != std::string::npos) {
        return false;
    }
    const std::uint32_t number = ntohl(address.s_addr);
    return number != INADDR_ANY && !IN_MULTICAST(number) && !IN_BADCLASS(number);
}

}
