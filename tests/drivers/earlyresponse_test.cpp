#include "drivers/httppool.h"
#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18989};

/** A listening socket whose connections the test drives with blocking calls. */
class BlockingServer
{
private:
    int m_descriptor;

public:
    BlockingServer()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int enabled = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(serverAddress.port));
        ::inet_pton(AF_INET, serverAddress.host.c_str(), &address.sin_addr);
        REQUIRE(::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_descriptor, 16) == 0);
    }

    ~BlockingServer()
    {
        ::close(m_descriptor);
    }

    BlockingServer(const BlockingServer &) = delete;
    BlockingServer &operator=(const BlockingServer &) = delete;

    int accept() const
    {
        return ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    }
};

void sendText(int descriptor, const std::string &text)
{
    REQUIRE(::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

void reset(int descriptor)
{
    const linger option{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(descriptor);
}

/** How a server ends a connection on which it has answered early. */
enum class EarlyEnd {
    Reset,
    /** The kernel resets the connection, as part of the request was not read. */
    CloseUnread,
    HalfClose,
};

/** Answers a request as soon as part of it has arrived, and ends the connection while the rest is being sent. */
class EarlyServer
{
private:
    static constexpr Duration pollPeriod = std::chrono::milliseconds(1);

    Loop &m_loop;
    TcpListener m_listener;
    std::string m_response;
    EarlyEnd m_end;
    Duration m_delay;
    std::vector<int> m_waiting;
    std::vector<int> m_halfClosed;

    void readRequests()
    {
        std::array<char, 1024> buffer{};
        const auto hasArrived = [&buffer](int descriptor) {
            return ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0;
        };
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            if (!hasArrived(*it)) {
                ++it;
                continue;
            }
            m_loop.timers().subscribeOnce(m_delay, [this, descriptor = *it](TimePoint) {
                answer(descriptor);
            });
            it = m_waiting.erase(it);
        }
    }

    void answer(int descriptor)
    {
        sendText(descriptor, m_response);
        switch (m_end) {
        case EarlyEnd::Reset:
            reset(descriptor);
            return;
        case EarlyEnd::CloseUnread:
            ::close(descriptor);
            return;
        case EarlyEnd::HalfClose:
            ::shutdown(descriptor, SHUT_WR);
            m_halfClosed.push_back(descriptor);
            return;
        }
    }

public:
    EarlyServer(Loop &loop, std::string response, EarlyEnd end, Duration delay)
        : m_loop(loop)
        , m_listener(loop,
                     [this](int descriptor) {
                         m_waiting.push_back(descriptor);
                     })
        , m_response(std::move(response))
        , m_end(end)
        , m_delay(delay)
    {
        REQUIRE(m_listener.open(serverAddress));
        loop.timers().subscribe(pollPeriod, [this](TimePoint) {
            readRequests();
        });
    }

    ~EarlyServer()
    {
        for (const int descriptor : m_halfClosed) {
            ::close(descriptor);
        }
    }

    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;
};

struct Outcome
{
    std::optional<HttpCallResult> result;
    bool hasHead = false;
    int status = 0;
    std::string body;
};

HttpPool::CallId sendRequest(HttpPool &pool, Outcome &outcome, std::size_t bodyBytes)
{
    HttpCall call;
    call.target = serverAddress;
    call.poolKey = "server";
    call.maxIdle = Duration::zero();
    call.head.method = "POST";
    call.head.target = "/upload";
    call.body = std::string(bodyBytes, 'u');
    HttpPool::Handlers handlers;
    handlers.onHead = [&outcome](const HttpHead &head, HttpBodyFraming, std::int64_t) {
        outcome.hasHead = true;
        outcome.status = head.status;
    };
    handlers.onData = [&outcome](std::string_view data) {
        outcome.body.append(data);
    };
    handlers.onEnd = [&outcome](HttpCallResult result, HttpBreakCause) {
        outcome.result = result;
    };
    return pool.send(std::move(call), std::move(handlers));
}

const std::string part = "part of the answer";

}

// MIXED: a write met the reset first and took its error, so that the read after it reported an orderly end.
TEST_CASE("[TcpSocket] A reset that a write meets first is not an orderly close")
{
    const BlockingServer server;
    Loop loop;
    bool isConnected = false;
    std::string received;
    std::optional<SocketCloseReason> end;
    TcpSocket::Handlers handlers;
    handlers.onConnected = [&isConnected]() {
        isConnected = true;
    };
    handlers.onData = [&received](std::string_view data) {
        received.append(data);
    };
    handlers.onEnd = [&end](SocketCloseReason reason) {
        end = reason;
    };
    TcpSocket client(loop, std::move(handlers));
    REQUIRE(client.connect(serverAddress));
    REQUIRE(fakes::runUntil(loop, [&isConnected]() {
        return isConnected;
    }));
    const int descriptor = server.accept();
    sendText(descriptor, part);
    reset(descriptor);
    client.write("the rest of an upload");
    REQUIRE(fakes::runUntil(loop, [&end]() {
        return end.has_value();
    }));
    CHECK(*end == SocketCloseReason::Reset);
    CHECK(received == part);
}

TEST_CASE("[HttpPool] Part of an early answer that ends with its connection is not complete while the request is being sent")
{
    const std::array<std::string, 3> framings = {"", "Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n"};
    for (const int status : {200, 413, 500}) {
        for (const std::string &framing : framings) {
            for (const EarlyEnd end : {EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfClose}) {
                for (const std::size_t bodyBytes : {std::size_t(64 * 1024), std::size_t(4U * 1024 * 1024)}) {
                    for (int play = 0; play < 8; ++play) {
                        Loop loop;
                        std::string response = "HTTP/1.1 " + std::to_string(status) + " Any\r\n";
                        response.append(framing).append("\r\n").append(part);
                        const EarlyServer server(loop, response, end, std::chrono::milliseconds(play / 2));
                        HttpPool pool(loop);
                        Outcome outcome;
                        sendRequest(pool, outcome, bodyBytes);
                        REQUIRE(fakes::runUntil(loop, [&outcome]() {
                            return outcome.result.has_value();
                        }));
                        CAPTURE(status, framing, static_cast<int>(end), bodyBytes, play, outcome.body);
                        // A half-close of a server that holds the whole request is the end of its answer.
                        const bool mayBeComplete = framing.empty() && end == EarlyEnd::HalfClose && bodyBytes == 64 * 1024;
                        CHECK((mayBeComplete || *outcome.result != HttpCallResult::Complete));
                    }
                }
            }
        }
    }
}

TEST_CASE("[HttpPool] A whole early answer with a marked end is delivered while the request is being sent")
{
    const std::string response = "HTTP/1.1 413 Any\r\nContent-Length: " + std::to_string(part.size()) + "\r\n\r\n" + part;
    Loop loop;
    const EarlyServer server(loop, response, EarlyEnd::HalfClose, Duration::zero());
    HttpPool pool(loop);
    Outcome outcome;
    sendRequest(pool, outcome, 4U * 1024 * 1024);
    REQUIRE(fakes::runUntil(loop, [&outcome]() {
        return outcome.result.has_value();
    }));
    CHECK(*outcome.result == HttpCallResult::Complete);
    CHECK(outcome.status == 413);
    CHECK(outcome.body == part);
}

// MIXED: 000 to 099 were waited for as interim responses, and 600 to 999 passed on.
TEST_CASE("[HttpPool] A response whose status is none of HTTP is broken off at once")
{
    for (const char *status : {"000", "001", "099", "101", "600", "601", "999", "20", "2", "2000", "+20", "-01", "2x0", "abc", ""}) {
        for (const char *framing : {"", "Content-Length: 18\r\n", "Transfer-Encoding: chunked\r\n"}) {
            const BlockingServer server;
            Loop loop;
            HttpPool pool(loop);
            Outcome outcome;
            sendRequest(pool, outcome, 100);
            const TimePoint sentAt = Loop::now();
            const int descriptor = server.accept();
            const bool isChunked = std::string(framing).find("chunked") != std::string::npos;
            sendText(descriptor,
                     std::string("HTTP/1.1 ") + status + " Any\r\n" + framing + "\r\n"
                         + (isChunked ? "12\r\n" + part + "\r\n0\r\n\r\n" : part));
            fakes::runUntil(loop, [&]() {
                return outcome.result.has_value();
            });
            ::close(descriptor);
            CAPTURE(status, framing);
            CHECK(outcome.result == HttpCallResult::Broken);
            CHECK_FALSE(outcome.hasHead);
            CHECK(Loop::now() - sentAt < std::chrono::seconds(10));
        }
    }
}

TEST_CASE("[HttpPool] Interim responses are skipped")
{
    for (const char *status : {"100", "102", "103", "199"}) {
        const BlockingServer server;
        Loop loop;
        HttpPool pool(loop);
        Outcome outcome;
        sendRequest(pool, outcome, 100);
        const int descriptor = server.accept();
        sendText(descriptor, std::string("HTTP/1.1 ") + status + " Any\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + part);
        REQUIRE(fakes::runUntil(loop, [&outcome]() {
            return outcome.result.has_value();
        }));
        ::close(descriptor);
        CHECK(outcome.result == HttpCallResult::Complete);
        CHECK(outcome.status == 200);
        CHECK(outcome.body == part);
    }
}
