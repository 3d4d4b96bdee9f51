#pragma once

#include "drivers/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace citronspar
{

/** How a connection was closed by the peer or the kernel. */
enum class SocketCloseReason {
    /** The peer shut down its side and all data it sent has been read. */
    Finished,
    /** The connection was reset, timed out or could not be established; data may be lost. */
    Reset,
};

/**
 * A TCP connection on the event loop. libwebsockets only polls the descriptor;
 * reads and writes are done here, because the library does not distinguish a
 * clean close from a reset. Handlers are only called from the event loop, never
 * from within write() or close().
 */
class TcpSocket
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void(std::string_view data)> onData;
        /** Called when all buffered output has been passed to the kernel. */
        std::function<void()> onDrained;
        /** Called once when the peer or the kernel has closed the connection. The handler may destroy the socket. */
        std::function<void(SocketCloseReason reason)> onEnd;
    };

private:
    friend class TcpListener;

    Loop &m_loop;
    lws *m_wsi = nullptr;
    int m_descriptor = -1;
    Handlers m_handlers;
    std::string m_output;
    std::size_t m_sentBytes = 0;
    bool m_isConnecting = false;
    bool m_isReadingPaused = false;
    bool m_isClosed = false;
    bool m_isResetAtExit = false;
    /** Whether a write has failed. It takes the error of the connection, so that reads report an orderly end after it. */
    bool m_hasSendFailed = false;
    /** Set to false by the destructor, so that a function that has called a handler notices that the handler destroyed the socket. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

    bool attach(int descriptor);
    void readAvailable();
    void flush();
    void closeAndNotify(SocketCloseReason reason);
    void releaseDescriptor(bool isAborted);
    void handleWritable();

public:
    TcpSocket(Loop &loop, Handlers handlers);
    ~TcpSocket();

    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;

    /** Starts connecting. Returns false if that fails immediately. */
    bool connect(const SocketAddress &address);

    /** Takes ownership of an accepted descriptor. Returns false, and closes it, if the event loop can't watch it. */
    bool adopt(int descriptor);

    /** Writes @p data after any buffered output; what the kernel does not accept is buffered. */
    void write(std::string_view data);

    /** Output that the kernel has not accepted yet, in bytes. */
    std::size_t bufferedBytes() const;

    /** Stops reading, so that TCP flow control slows down the sender. */
    void pauseReading();
    void resumeReading();

    /**
     * Sets whether the connection is reset, instead of being closed in order, if the process is killed or the socket destroyed. Used
     * while the end of the connection marks the end of a message.
     */
    void setResetAtExit(bool isReset);

    /** Closes immediately. No handler is called afterwards. */
    void close();

    /** Closes immediately with a reset, so that the peer can't mistake a truncated message for a complete one. */
    void abort();

    /** Called only by the event loop. */
    void handleEvent(lws_callback_reasons reason);
};

/** A listening TCP socket. */
class TcpListener
{
public:
    using AcceptHandler = std::function<void(int descriptor)>;

private:
    Loop &m_loop;
    lws *m_wsi = nullptr;
    int m_descriptor = -1;
    AcceptHandler m_handler;

public:
    TcpListener(Loop &loop, AcceptHandler handler);
    ~TcpListener();

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /** Starts listening on @p address. Returns false if the address can't be bound. */
    bool open(const SocketAddress &address);

    /** Accepts pending connections; the event recurs while there are more. Called only by the event loop. */
    void acceptPending();
};

}
