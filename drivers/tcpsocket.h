#pragma once

#include "drivers/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace citronspar
{

/** How the other side ended a connection. */
enum class SocketEnd {
    /** It closed its side after all its bytes had arrived. */
    Finished,
    /** It was reset, timed out or could not be opened; bytes may be missing. */
    Reset,
};

/**
 * One TCP connection on the loop. The descriptor is watched by libwebsockets
 * and read here, as the library does not tell an orderly end from a reset.
 * All handlers are called from the loop, except onData's chain of a write.
 */
class TcpSocket
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void(std::string_view data)> onData;
        /** All output has been passed to the kernel. */
        std::function<void()> onDrained;
        /** Called once; the socket is dead afterwards and may be destroyed in the handler. */
        std::function<void(SocketEnd end)> onEnd;
    };

private:
    friend class TcpPort;

    Loop &m_loop;
    lws *m_entry = nullptr;
    int m_descriptor = -1;
    Handlers m_handlers;
    std::string m_output;
    std::size_t m_sentBytes = 0;
    bool m_isConnecting = false;
    bool m_isPaused = false;
    bool m_isEnded = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

    bool attach(int descriptor);
    void readAll();
    void flush();
    void end(SocketEnd how);
    void release(bool isAborted);
    void becomeWritable();

public:
    TcpSocket(Loop &loop, Handlers handlers);
    ~TcpSocket();

    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;

    /** Starts to connect; false when the kernel refused at once. */
    bool connect(const SocketAddress &address);

    /** Takes over an accepted descriptor; false when it can't be watched. */
    bool adopt(int descriptor);

    /** Sends @p data after all earlier output. */
    void write(std::string_view data);

    /** Output that the kernel has not taken yet, in bytes. */
    std::size_t bufferedBytes() const;

    /** Stops reading, so that the sender is slowed down by its window. */
    void pauseReading();
    void resumeReading();

    /** Closes at once; no handler is called any more. */
    void close();

    /** Closes at once with a reset, so that no peer takes an answer for complete. */
    void abortOnClose();

    /** Called by the loop only. */
    void handleEvent(lws_callback_reasons reason);
};

/** A listening TCP port. */
class TcpPort
{
public:
    using AcceptHandler = std::function<void(int descriptor)>;

private:
    Loop &m_loop;
    lws *m_entry = nullptr;
    int m_descriptor = -1;
    AcceptHandler m_handler;

public:
    TcpPort(Loop &loop, AcceptHandler handler);
    ~TcpPort();

    TcpPort(const TcpPort &) = delete;
    TcpPort &operator=(const TcpPort &) = delete;

    /** Listens on @p address; false when the port can't be had. */
    bool open(const SocketAddress &address);

    /** Called by the loop only. */
    void acceptAll();
};

}
