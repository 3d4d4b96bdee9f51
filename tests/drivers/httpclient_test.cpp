#include "drivers/httpclient.h"
#include "drivers/tcpsocket.h"
#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18992};

/** Answers one request with the given bytes, and resets the connection after them if asked to. */
class OneAnswerServer
{
private:
    Loop &m_loop;
    std::unique_ptr<TcpSocket> m_socket;
    TcpListener m_listener;

    void accept(int descriptor, const std::string &response, bool isReset)
    {
        TcpSocket::Handlers handlers;
        handlers.onData = [this, response, isReset](std::string_view) {
            m_socket->write(response);
            if (isReset) {
                m_loop.timers().subscribeOnce(std::chrono::milliseconds(20), [this](TimePoint) {
                    m_socket->abort();
                });
            }
        };
        handlers.onEnd = [](SocketCloseReason) {};
        m_socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
        m_socket->adopt(descriptor);
    }

public:
    OneAnswerServer(Loop &loop, const std::string &response, bool isReset)
        : m_loop(loop)
        , m_listener(loop, [this, response, isReset](int descriptor) {
            accept(descriptor, response, isReset);
        })
    {
        REQUIRE(m_listener.open(serverAddress));
    }
};

HttpClientResult resultOf(const std::string &response, bool isReset)
{
    Loop loop;
    const OneAnswerServer server(loop, response, isReset);
    HttpClient client(loop);
    HttpClientRequest request;
    request.target = serverAddress;
    request.method = "POST";
    request.path = "/x";
    request.body = "the body";
    std::optional<HttpClientResult> result;
    HttpClient::Handlers handlers;
    handlers.onEnd = [&result](HttpClientResult ended) {
        result = ended;
    };
    client.send(std::move(request), std::move(handlers));
    REQUIRE(fakes::runUntil(loop, [&result]() {
        return result.has_value();
    }));
    return *result;
}

}

// Known failure, see KNOWN-RED.txt: libwebsockets reports any status, and a reset as an orderly end.
TEST_CASE("[HttpClient] A response whose status is none of HTTP, or that is reset before its end is marked, is not complete", "[!mayfail]")
{
    for (const char *status : {"000", "099", "600", "999"}) {
        std::string response = "HTTP/1.1 ";
        response.append(status).append(" Any\r\nContent-Length: 2\r\n\r\nok");
        INFO(status);
        CHECK(resultOf(response, false) != HttpClientResult::Complete);
    }
    CHECK(resultOf("HTTP/1.1 200 OK\r\n\r\npart of the answer", true) != HttpClientResult::Complete);
}

TEST_CASE("[HttpClient] A response that is cut before its length is not complete")
{
    CHECK(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false) == HttpClientResult::Complete);
    CHECK(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart", true) != HttpClientResult::Complete);
}
