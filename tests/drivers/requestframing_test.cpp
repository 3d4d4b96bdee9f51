#include "drivers/httplistener.h"
#include "drivers/tcpsocket.h"
#include "tests/fakes/framingtable.h"
#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18985};
const std::string innerRequest = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\napprove";

/** Sends a head, and its payload in the same segment or once the head has been sent. */
class FramingClient
{
private:
    std::string m_received;
    bool m_isClosed = false;
    std::unique_ptr<TcpSocket> m_socket;

public:
    FramingClient(Loop &loop, const std::string &head, const std::string &payload, bool isSplit)
    {
        TcpSocket::Handlers handlers;
        handlers.onData = [this](std::string_view data) {
            m_received.append(data);
        };
        handlers.onEnd = [this](SocketCloseReason) {
            m_isClosed = true;
        };
        m_socket = std::make_unique<TcpSocket>(loop, std::move(handlers));
        REQUIRE(m_socket->connect(serverAddress));
        if (!isSplit) {
            m_socket->write(head + payload);
            return;
        }
        m_socket->write(head);
        loop.timers().subscribeOnce(std::chrono::milliseconds(20), [this, payload](TimePoint) {
            m_socket->write(payload);
        });
    }

    bool isEnded() const
    {
        return m_isClosed || statusLine() == "HTTP/1.1 200 OK";
    }

    bool isClosed() const
    {
        return m_isClosed;
    }

    std::string statusLine() const
    {
        return m_received.substr(0, m_received.find("\r\n"));
    }

    bool isRefused() const
    {
        return m_received.rfind("HTTP/1.1 400", 0) == 0 || m_received.rfind("HTTP/1.1 501", 0) == 0;
    }
};

}

// review/9: a Transfer-Encoding without a final "chunked" let the body be run as a request.
TEST_CASE("[HttpListener] No body is taken for a request, and none is read in another way than it was framed")
{
    const std::vector<fakes::FramedMessage> messages = fakes::framedMessages(innerRequest);
    for (const std::string method : {"POST", "GET", "HEAD", "PUT", "DELETE"}) {
        for (const bool isSplit : {false, true}) {
            Loop loop;
            HttpListener listener(loop);
            std::map<std::string, std::string> bodies;
            int innerRequests = 0;
            std::map<HttpListener::RefusalReason, int> refusals;
            listener.onRequest([&](HttpListener::ExchangeId id, const HttpIncomingRequest &request) {
                innerRequests += request.head.target == "/inner" ? 1 : 0;
                bodies[request.head.target] = request.body;
                HttpHead head;
                head.status = 200;
                head.reason = "OK";
                listener.respond(id, head, "answer");
            });
            REQUIRE(listener.open(serverAddress));
            std::vector<std::unique_ptr<FramingClient>> clients;
            for (const fakes::FramedMessage &message : messages) {
                const std::string target = "/outer-" + std::to_string(clients.size());
                std::string head = method;
                head.append(" ").append(target).append(message.isHttp10 ? " HTTP/1.0" : " HTTP/1.1");
                head.append("\r\nHost: h\r\n").append(message.fields).append("\r\n");
                clients.push_back(std::make_unique<FramingClient>(loop, head, message.payload, isSplit));
            }
            CHECK(fakes::runUntil(loop, [&]() {
                return std::all_of(clients.begin(), clients.end(), [](const std::unique_ptr<FramingClient> &client) {
                    return client->isEnded();
                });
            }));
            // What follows a refused head on its connection is not read as a request.
            const TimePoint until = Loop::now() + std::chrono::milliseconds(50);
            fakes::runUntil(loop, [&]() {
                return Loop::now() >= until;
            });
            CHECK(innerRequests == 0);
            int wrong = 0;
            for (std::size_t i = 0; i < messages.size(); ++i) {
                const auto body = bodies.find("/outer-" + std::to_string(i));
                const bool isRead = body != bodies.end();
                const bool isRefused = !isRead && clients[i]->isClosed() && clients[i]->isRefused();
                const fakes::FramingReading reading = messages[i].reading;
                const bool mayBeRead = reading != fakes::FramingReading::Refused;
                const bool mayBeRefused = reading != fakes::FramingReading::Length && reading != fakes::FramingReading::Chunked;
                const bool isRight = (isRead && mayBeRead && body->second == innerRequest) || (isRefused && mayBeRefused);
                if (!isRight) {
                    ++wrong;
                    UNSCOPED_INFO(method << (messages[i].isHttp10 ? " HTTP/1.0 " : " HTTP/1.1 ") << messages[i].fields
                                         << (isSplit ? "split, " : "") << (clients[i]->isClosed() ? "closed, " : "open, ")
                                         << clients[i]->statusLine() << (isRead ? "read, body " + body->second : "not read"));
                }
            }
            CHECK(wrong == 0);
        }
    }
}
