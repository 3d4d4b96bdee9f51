#include "drivers/httplistener.h"
#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18988};
const std::string event = "id: 1\ndata: an event\n\n";

/** A client that notes how its connection ended. */
class EndingClient
{
private:
    int m_descriptor;
    TcpSocket m_socket;

public:
    std::string received;
    std::optional<SocketCloseReason> end;

    EndingClient(Loop &loop, const std::string &request)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_socket(loop,
                   TcpSocket::Handlers{nullptr,
                                       [this](std::string_view data) {
                                           received.append(data);
                                       },
                                       nullptr,
                                       [this](SocketCloseReason reason) {
                                           end = reason;
                                       }})
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(serverAddress.port));
        ::inet_pton(AF_INET, serverAddress.host.c_str(), &address.sin_addr);
        if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) < 0) {
            end = SocketCloseReason::Reset;
        }
        ::fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
        REQUIRE(m_socket.adopt(m_descriptor));
        m_socket.write(request);
    }

    /** Closes the sending direction only. */
    void halfClose() const
    {
        ::shutdown(m_descriptor, SHUT_WR);
    }

    TcpSocket &socket()
    {
        return m_socket;
    }

    std::size_t eventCount() const
    {
        std::size_t count = 0;
        for (std::size_t at = received.find(event); at != std::string::npos; at = received.find(event, at + 1)) {
            ++count;
        }
        return count;
    }
};

HttpHead streamHead()
{
    HttpHead head;
    head.status = 200;
    head.reason = "OK";
    head.set("Content-Type", "text/event-stream");
    return head;
}

/** Begins a response, sends a number of events and keeps it open, or finishes it. */
class StreamServer
{
private:
    HttpListener m_listener;

public:
    StreamServer(Loop &loop, HttpBodyFraming framing, int events, bool isFinished)
        : m_listener(loop)
    {
        m_listener.onRequest([this, framing, events, isFinished](HttpListener::ExchangeId id, const HttpIncomingRequest &) {
            m_listener.begin(id, streamHead(), framing);
            for (int i = 0; i < events; ++i) {
                m_listener.write(id, event);
            }
            if (isFinished) {
                m_listener.finish(id);
            }
        });
    }

    bool open()
    {
        return m_listener.open(serverAddress);
    }

    HttpListener &listener()
    {
        return m_listener;
    }
};

/** A process that serves until it is killed. */
class ServerProcess
{
private:
    pid_t m_pid = -1;

public:
    explicit ServerProcess(const std::function<void()> &serve)
        : m_pid(::fork())
    {
        if (m_pid == 0) {
            serve();
            ::_exit(1);
        }
    }

    ~ServerProcess()
    {
        kill();
    }

    ServerProcess(const ServerProcess &) = delete;
    ServerProcess &operator=(const ServerProcess &) = delete;

    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
};

std::string requestOf(const std::string &version)
{
    return "GET /stream HTTP/" + version + "\r\nHost: h\r\n\r\n";
}

}

// review/6: the kernel closed the connections of a killed daemon in order, which ends a response without length or chunks.
TEST_CASE("[HttpListener] A response that ends with its connection is reset if its process is killed")
{
    for (const std::string version : {"1.1", "1.0"}) {
        for (const HttpBodyFraming framing : {HttpBodyFraming::ConnectionEnd, HttpBodyFraming::Chunked}) {
            for (const int events : {0, 1, 20}) {
                ServerProcess server([framing, events]() {
                    Loop loop;
                    StreamServer stream(loop, framing, events, false);
                    if (stream.open()) {
                        loop.run();
                    }
                });
                Loop loop;
                std::unique_ptr<EndingClient> client;
                const auto hasReceived = [&]() {
                    if (client == nullptr || client->end.has_value()) {
                        // The server may not listen yet.
                        client = std::make_unique<EndingClient>(loop, requestOf(version));
                    }
                    return client->received.find("\r\n\r\n") != std::string::npos
                        && client->eventCount() == static_cast<std::size_t>(events);
                };
                REQUIRE(fakes::runUntil(loop, hasReceived));
                server.kill();
                REQUIRE(fakes::runUntil(loop, [&]() {
                    return client->end.has_value();
                }));
                CAPTURE(version, framingName(framing), events, client->received);
                const bool hasChunks = client->received.find("chunked") != std::string::npos;
                CHECK((hasChunks || *client->end == SocketCloseReason::Reset));
                CHECK(client->received.find("\r\n0\r\n\r\n") == std::string::npos);
            }
        }
    }
}

TEST_CASE("[HttpListener] A whole response that ends with its connection is closed in order")
{
    for (const int events : {0, 1, 20000}) {
        Loop loop;
        StreamServer server(loop, HttpBodyFraming::ConnectionEnd, events, true);
        REQUIRE(server.open());
        EndingClient client(loop, requestOf("1.1"));
        REQUIRE(fakes::runUntil(loop, [&client]() {
            return client.end.has_value();
        }));
        CHECK(*client.end == SocketCloseReason::Finished);
        CHECK(client.eventCount() == static_cast<std::size_t>(events));
    }
}

TEST_CASE("[HttpListener] A response that ends with its connection is reset if the daemon exits or the client half-closes")
{
    for (const bool isExit : {false, true}) {
        Loop loop;
        std::unique_ptr<StreamServer> server = std::make_unique<StreamServer>(loop, HttpBodyFraming::ConnectionEnd, 2, false);
        REQUIRE(server->open());
        EndingClient client(loop, requestOf("1.1"));
        REQUIRE(fakes::runUntil(loop, [&client]() {
            return client.eventCount() == 2;
        }));
        if (isExit) {
            server.reset();
        } else {
            client.halfClose();
        }
        REQUIRE(fakes::runUntil(loop, [&client]() {
            return client.end.has_value();
        }));
        CHECK(*client.end == SocketCloseReason::Reset);
    }
}

TEST_CASE("[HttpListener] A response that is closed while output waits for its reader is reset")
{
    constexpr int manyEvents = 500000;
    Loop loop;
    StreamServer server(loop, HttpBodyFraming::ConnectionEnd, manyEvents, true);
    HttpListener::Limits limits;
    limits.idleTimeout = std::chrono::milliseconds(200);
    server.listener().setLimits(limits);
    REQUIRE(server.open());
    EndingClient client(loop, requestOf("1.1"));
    client.socket().pauseReading();
    const TimePoint until = Loop::now() + std::chrono::milliseconds(300);
    REQUIRE(fakes::runUntil(loop, [&]() {
        return server.listener().openConnections() == 0 && Loop::now() >= until;
    }));
    client.socket().resumeReading();
    REQUIRE(fakes::runUntil(loop, [&client]() {
        return client.end.has_value();
    }));
    CHECK(client.eventCount() < static_cast<std::size_t>(manyEvents));
    CHECK(*client.end == SocketCloseReason::Reset);
}
