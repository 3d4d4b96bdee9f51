#include "drivers/httplistener.h"

#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18983};

/** A connection that keeps what it receives. */
struct RawClient
{
    std::string received;
    bool isClosed = false;
    TcpSocket socket;

    explicit RawClient(Loop &loop)
        : socket(loop,
                 TcpSocket::Handlers{nullptr,
                                     [this](std::string_view data) {
                                         received.append(data);
                                     },
                                     nullptr,
                                     [this](SocketCloseReason) {
                                         isClosed = true;
                                     }})
    {
        REQUIRE(socket.connect(serverAddress));
    }
};

struct ListenerFixture
{
    Loop loop;
    HttpListener listener{loop};
    std::vector<HttpListener::RefusalReason> refusals;
    int requests = 0;
    bool isAnswering = true;

    ListenerFixture()
    {
        listener.onRequest([this](HttpListener::ExchangeId id, const HttpIncomingRequest &) {
            ++requests;
            if (isAnswering) {
                HttpHead head;
                head.status = 200;
                head.reason = "OK";
                listener.respond(id, head, "answer");
            }
        });
        listener.onRefused([this](HttpListener::RefusalReason reason, std::size_t) {
            refusals.push_back(reason);
        });
        REQUIRE(listener.open(serverAddress));
    }

    bool waitFor(const std::function<bool()> &isDone)
    {
        return fakes::runUntil(loop, isDone);
    }
};

std::string requestHead(std::size_t length)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}

TEST_CASE("[HttpListener] A stalled body is refused with 503 while another one waits for its memory, which is then served")
{
    ListenerFixture fixture;
    constexpr std::size_t bodyBytes = 1024 * 1024;
    fixture.listener.setMaxHeldBytes(bodyBytes + bodyBytes / 4);
    RawClient stalled(fixture.loop);
    stalled.socket.write(requestHead(bodyBytes) + std::string(bodyBytes - 1, 's'));
    REQUIRE(fixture.waitFor([&]() {
        return fixture.listener.heldBytes() >= bodyBytes - 1;
    }));
    RawClient second(fixture.loop);
    second.socket.write(requestHead(bodyBytes) + std::string(bodyBytes, 'b'));
    CHECK(fixture.waitFor([&]() {
        return second.received.rfind("HTTP/1.1 200", 0) == 0;
    }));
    CHECK(fixture.requests == 1);
    CHECK(stalled.isClosed);
    CHECK(fixture.refusals == std::vector<HttpListener::RefusalReason>{HttpListener::RefusalReason::Memory});
    CHECK(fixture.listener.heldBytes() == 0);
}

TEST_CASE("[HttpListener] A connection that was answered is kept when connections without a request fill the limit")
{
    ListenerFixture fixture;
    HttpListener::Limits limits;
    limits.maxConnections = 3;
    fixture.listener.setLimits(limits);
    RawClient caller(fixture.loop);
    caller.socket.write(requestHead(0));
    REQUIRE(fixture.waitFor([&]() {
        return !caller.received.empty();
    }));
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<RawClient>(fixture.loop));
    }
    REQUIRE(fixture.waitFor([&]() {
        return fixture.refusals.size() == 8;
    }));
    CHECK_FALSE(caller.isClosed);
    CHECK(fixture.listener.openConnections() == 3);
    caller.received.clear();
    caller.socket.write(requestHead(0));
    CHECK(fixture.waitFor([&]() {
        return !caller.received.empty();
    }));
}

TEST_CASE("[HttpListener] Input behind an unfinished request is bounded, and answered once the request has ended")
{
    ListenerFixture fixture;
    fixture.isAnswering = false;
    RawClient client(fixture.loop);
    constexpr std::size_t pipelinedBytes = 8 * 1024 * 1024;
    client.socket.write(requestHead(0) + requestHead(1024) + std::string(pipelinedBytes, 'p'));
    REQUIRE(fixture.waitFor([&]() {
        return fixture.requests == 1 && fixture.listener.heldBytes() > 64 * 1024;
    }));
    const TimePoint until = Loop::now() + std::chrono::milliseconds(200);
    CHECK(fixture.waitFor([&]() {
        return Loop::now() >= until;
    }));
    CHECK(fixture.listener.heldBytes() < 128 * 1024);
}

TEST_CASE("[HttpListener] In a stop, connections stay open until their responses have been sent")
{
    const std::string piece(64 * 1024, 'b');
    const std::string endOfBody = "0\r\n\r\n";
    for (const bool isStopBeforeResponse : {false, true}) {
        ListenerFixture fixture;
        std::size_t unsent = 0;
        fixture.listener.onRequest([&](HttpListener::ExchangeId id, const HttpIncomingRequest &) {
            if (isStopBeforeResponse) {
                fixture.listener.beginStop();
            }
            HttpHead head;
            head.status = 200;
            head.reason = "OK";
            fixture.listener.begin(id, head, HttpBodyFraming::Chunked);
            while (fixture.listener.bufferedBytes(id) == 0) {
                fixture.listener.write(id, piece);
            }
            fixture.listener.finish(id);
            fixture.listener.beginStop();
            // The client can't read before the handler returns.
            fixture.listener.closeIdle();
            unsent = fixture.listener.unsentResponses();
        });
        RawClient client(fixture.loop);
        client.socket.write(requestHead(0));
        CHECK(fixture.waitFor([&]() {
            fixture.listener.closeIdle();
            return client.isClosed;
        }));
        CHECK(unsent == 1);
        REQUIRE(client.received.size() > endOfBody.size());
        CHECK(client.received.substr(client.received.size() - endOfBody.size()) == endOfBody);
        CHECK(fixture.listener.unsentResponses() == 0);
    }
}
