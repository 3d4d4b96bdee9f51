#pragma once

#include "core/time.h"
#include "core/timerservice.h"

#include <libwebsockets.h>

#include <memory>
#include <string>

namespace citronspar
{

/** The one event loop of a process: sockets by libwebsockets, timers by the timer service. */
class Loop
{
public:
    /** What stands behind a descriptor that the loop watches. */
    enum class WatchKind {
        Socket,
        Port,
    };

private:
    struct ContextDeleter
    {
        void operator()(lws_context *context) const
        {
            lws_context_destroy(context);
        }
    };

    /** The library's timer comes first, so that its address is that of the whole. */
    struct WakeUp
    {
        lws_sorted_usec_list_t entry{};
        Loop *loop = nullptr;
    };

    std::unique_ptr<lws_context, ContextDeleter> m_context;
    TimerService m_timers;
    WakeUp m_wakeUp;
    bool m_isStopped = false;
    bool m_isClosing = false;
    lws_vhost *m_watchHost = nullptr;
    lws_protocols m_watchProtocols[3]{};

    void scheduleWakeUp();
    static int handleSocket(lws *entry, lws_callback_reasons reason, void *user, void *in, std::size_t length);
    static int handlePort(lws *entry, lws_callback_reasons reason, void *user, void *in, std::size_t length);
    static void wakeUp(lws_sorted_usec_list_t *entry);

public:
    Loop();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** Whether the loop that @p socket belongs to is being destroyed, so that its owner may be gone. */
    static bool isClosing(lws *socket);

    /** Whether the library could set up its context. */
    bool isOpen() const;

    /** Runs until stop() is called; may be called again afterwards. */
    void run();

    /** Lets run() return after the current round. Safe to call from a signal handler. */
    void stop();

    lws_context *context() const;

    /**
     * Watches a descriptor, which the library closes with the entry.
     * @p owner is a TcpSocket or TcpPort, as @p kind says
     */
    lws *watch(int descriptor, WatchKind kind, void *owner);

    TimerService &timers();

    /** The time now. */
    static TimePoint now();

    /** The wall-clock time now, since the epoch. */
    static std::chrono::microseconds wallNow();
};

/** "address:port", split. */
struct SocketAddress
{
    std::string host;
    int port = 0;
};

/** Splits "address:port". The port is 0 when @p text is not of that form. */
SocketAddress parseSocketAddress(const std::string &text);

}
