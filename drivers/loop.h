#pragma once

#include "core/time.h"
#include "core/timerservice.h"

#include <libwebsockets.h>

#include <memory>
#include <string>

namespace citronspar
{

/** The event loop of a process: libwebsockets for the sockets, TimerService for the timers. */
class Loop
{
public:
    /** The type of a watched descriptor's owner. */
    enum class WatchKind {
        Socket,
        Listener,
    };

private:
    struct ContextDeleter
    {
        void operator()(lws_context *context) const
        {
            lws_context_destroy(context);
        }
    };

    /** The libwebsockets timer is the first member, so that a pointer to it can be cast to the struct. */
    struct WakeUpTimer
    {
        lws_sorted_usec_list_t entry{};
        Loop *loop = nullptr;
    };

    std::unique_ptr<lws_context, ContextDeleter> m_context;
    TimerService m_timers;
    WakeUpTimer m_wakeUpTimer;
    bool m_isStopped = false;
    bool m_isClosing = false;
    lws_vhost *m_watchVhost = nullptr;
    lws_protocols m_watchProtocols[3]{};

    void scheduleWakeUp();
    static int handleSocket(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t length);
    static int handleListener(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t length);
    static void handleWakeUp(lws_sorted_usec_list_t *entry);

public:
    Loop();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** Whether the loop that @p socket belongs to is being destroyed, in which case the socket's owner may no longer exist. */
    static bool isClosing(lws *socket);

    /** Whether the libwebsockets context was created. */
    bool isInitialized() const;

    /** Runs until stop() is called. Can be called again afterwards. */
    void run();

    /** Makes run() return after the current iteration. Safe to call from a signal handler. */
    void stop();

    lws_context *context() const;

    /**
     * Dispatches events of a descriptor to its owner. libwebsockets takes ownership of the
     * descriptor and closes it with the returned wsi. Returns nullptr on failure.
     * @param owner a TcpSocket or TcpListener, as given by @p kind
     */
    lws *watch(int descriptor, WatchKind kind, void *owner);

    TimerService &timers();

    /** The time since boot, which includes time in suspend (CLOCK_BOOTTIME). */
    static TimePoint now();

    /** The wall-clock time since the Unix epoch. */
    static std::chrono::microseconds wallNow();
};

/** A host and a port. */
struct SocketAddress
{
    std::string host;
    int port = 0;
};

/** Parses "address:port". The port is 0 if @p text is malformed. */
SocketAddress parseSocketAddress(const std::string &text);

/** Whether @p host is the IPv4 address of one host in dotted-decimal form; not a name, a wildcard or a group of hosts. */
bool isHostAddress(const std::string &host);

}
