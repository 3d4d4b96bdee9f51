#include "drivers/httplistener.h"
#include "drivers/httppool.h"

#include "tests/fakes/loopwait.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const SocketAddress serverAddress{"127.0.0.1", 18998};

/** Server whose raw response bytes are chosen by the test. */
struct RawServer
{
    Loop &loop;
    std::vector<std::unique_ptr<TcpSocket>> sockets;
    std::string received;
    std::optional<SocketCloseReason> closeReason;
    std::function<void(TcpSocket &socket)> onRequest;
    TcpListener listener;

    explicit RawServer(Loop &eventLoop)
        : loop(eventLoop)
        , listener(loop, [this](int descriptor) {
            accept(descriptor);
        })
    {
        REQUIRE(listener.open(serverAddress));
    }

    void accept(int descriptor)
    {
        const std::size_t index = sockets.size();
        TcpSocket::Handlers handlers;
        handlers.onData = [this, index](std::string_view data) {
            received.append(data);
            if (received.size() >= 4 && received.compare(received.size() - 4, 4, "\r\n\r\n") == 0) {
                onRequest(*sockets[index]);
            }
        };
        handlers.onEnd = [this](SocketCloseReason reason) {
            closeReason = reason;
        };
        sockets.push_back(std::make_unique<TcpSocket>(loop, std::move(handlers)));
        sockets.back()->adopt(descriptor);
    }
};

HttpCall callWithId(const std::string &id)
{
    HttpCall call;
    call.target = serverAddress;
    call.poolKey = "server";
    call.head.method = "GET";
    call.head.target = "/";
    call.head.set("X-Id", id);
    call.echoHeader = "X-Id";
    return call;
}

struct FetchedResponse
{
    int reports = 0;
    HttpCallResult result = HttpCallResult::NotSent;
    std::string body;
};

void fetch(HttpPool &pool, Loop &loop, HttpCall call, FetchedResponse &response)
{
    pool.fetch(std::move(call), std::chrono::seconds(10), [&](HttpCallResult result, const HttpHead &, const std::string &body) {
        ++response.reports;
        response.result = result;
        response.body = body;
        loop.stop();
    });
    loop.run();
}

}

TEST_CASE("[HttpPool] Cancelling a call resets its connection, so that buffered request data is not delivered later")
{
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    HttpPool::CallId call = 0;
    server.onRequest = [&](TcpSocket &) {
        pool.cancel(call);
    };
    HttpPool::Handlers handlers;
    handlers.onEnd = [](HttpCallResult, HttpBreakCause) {
        FAIL("a cancelled call must not report its end");
    };
    call = pool.send(callWithId("1"), std::move(handlers));
    REQUIRE(fakes::runUntil(loop, [&]() {
        return server.closeReason.has_value();
    }));
    CHECK(*server.closeReason == SocketCloseReason::Reset);
}

TEST_CASE("[HttpPool] A late response to another request is discarded")
{
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    server.onRequest = [](TcpSocket &socket) {
        socket.write("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother");
        socket.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nmine");
    };
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    CHECK(response.result == HttpCallResult::Complete);
    CHECK(response.body == "mine");
}

TEST_CASE("[HttpPool] Keep-alive connections are reused, except after unsolicited data")
{
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    std::string extra;
    int requestCount = 0;
    server.onRequest = [&](TcpSocket &socket) {
        socket.write("HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(++requestCount) + "\r\nContent-Length: 2\r\n\r\nok" + extra);
    };
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    fetch(pool, loop, callWithId("2"), response);
    CHECK(pool.openedConnections() == 1);
    extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    fetch(pool, loop, callWithId("3"), response);
    extra.clear();
    fetch(pool, loop, callWithId("4"), response);
    CHECK(pool.openedConnections() == 2);
    CHECK(response.body == "ok");
    CHECK(response.reports == 4);
}

TEST_CASE("[HttpPool] A refused connection is reported as not sent")
{
    Loop loop;
    HttpPool pool(loop);
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    CHECK(response.result == HttpCallResult::NotSent);
}

TEST_CASE("[HttpPool] A truncated response is not reported as complete")
{
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    const bool hasLength = GENERATE(true, false);
    server.onRequest = [&](TcpSocket &socket) {
        socket.write(hasLength ? "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart" : "HTTP/1.1 200 OK\r\n\r\npart");
        loop.timers().subscribeOnce(std::chrono::milliseconds(20), [&](TimePoint) {
            server.sockets.back()->abort();
        });
    };
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    CHECK(response.result == HttpCallResult::Broken);
}

namespace
{

/** Writes @p block to a socket again and again until the peer closes it, and counts the bytes that were written. */
struct EndlessWriter
{
    Loop &loop;
    std::string block;
    std::size_t written = 0;

    void start(RawServer &server)
    {
        loop.timers().subscribe(std::chrono::milliseconds(1), [this, &server](TimePoint) {
            TcpSocket &socket = *server.sockets.back();
            constexpr std::size_t maxUnsent = 64 * 1024;
            while (!server.closeReason.has_value() && socket.bufferedBytes() < maxUnsent) {
                socket.write(block);
                written += block.size();
            }
        });
    }
};

}

TEST_CASE("[HttpPool] A server that sends bytes without end is cut off, and its call is broken")
{
    struct Case
    {
        const char *name;
        std::string start;
        std::string block;
    };
    const std::string noise(4096, 'x');
    const std::string otherResponse = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 4096\r\n\r\n" + noise;
    const Case shown = GENERATE_COPY(
        Case{"a status line", "HTTP/1.1 200 ", noise}, Case{"a header line", "HTTP/1.1 200 OK\r\nX-Any: ", noise},
        Case{"header lines", "HTTP/1.1 200 OK\r\n", "X-Any: 1\r\n"},
        Case{"a chunk line", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;any=", noise},
        Case{"a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Any: ", noise},
        Case{"a body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", noise}, Case{"bytes that are no response", "", noise},
        Case{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"}, Case{"responses to other requests", "", otherResponse},
        Case{"a response to another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", noise});
    INFO(shown.name);
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    EndlessWriter writer{loop, shown.block};
    server.onRequest = [&](TcpSocket &socket) {
        socket.write(shown.start);
        writer.start(server);
    };
    FetchedResponse response;
    HttpCall call = callWithId("1");
    call.maxFetchedBytes = 1024 * 1024;
    fetch(pool, loop, std::move(call), response);
    CHECK(response.result == HttpCallResult::Broken);
    REQUIRE(fakes::runUntil(loop, [&]() {
        return server.closeReason.has_value();
    }));
    // The limits and what the kernel buffers on both sides; without limits, writing goes on until the call's timeout.
    CHECK(writer.written < 32U * 1024 * 1024);
}

// Guards against a server whose many short responses take the processor time of all other requests.
TEST_CASE("[HttpPool] A server that sends many responses that are not the call's is cut off long before their bytes are too many")
{
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n";
    const std::string skipped = GENERATE_COPY(interim, other);
    const int count = GENERATE(20, 200);
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    server.onRequest = [&](TcpSocket &socket) {
        std::string bytes;
        for (int i = 0; i < count; ++i) {
            bytes += skipped;
        }
        socket.write(bytes + "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nmine");
    };
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    CHECK(response.result == (count == 20 ? HttpCallResult::Complete : HttpCallResult::Broken));
    CHECK(response.body == (count == 20 ? "mine" : ""));
}

TEST_CASE("[HttpPool] Beyond the bound on all responses, the one that holds most is broken off, and the others go on")
{
    constexpr std::size_t soundBytes = 50000;
    constexpr std::size_t firstBytes = 40000;
    constexpr std::size_t faultyBytes = 100000;
    Loop loop;
    RawServer server(loop);
    HttpPool pool(loop);
    pool.setMaxHeldBytes(soundBytes + faultyBytes / 2);
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: ";
    server.onRequest = [&](TcpSocket &socket) {
        const bool isSound = &socket == server.sockets.front().get();
        socket.write(head + std::to_string(isSound ? soundBytes : 2 * faultyBytes) + "\r\n\r\n");
        socket.write(std::string(isSound ? firstBytes : faultyBytes, 'x'));
    };
    FetchedResponse sound;
    FetchedResponse faulty;
    const auto start = [&](FetchedResponse &response, bool isCounted) {
        HttpCall call = callWithId("1");
        call.isHeldBytesCounted = isCounted;
        pool.fetch(std::move(call), std::chrono::seconds(10), [&](HttpCallResult result, const HttpHead &, const std::string &body) {
            ++response.reports;
            response.result = result;
            response.body = body;
        });
    };
    start(sound, true);
    REQUIRE(fakes::runUntil(loop, [&]() {
        return pool.heldBytes() > firstBytes;
    }));
    // The response of a trusted server holds more, and stays.
    FetchedResponse trusted;
    start(trusted, false);
    start(faulty, true);
    REQUIRE(fakes::runUntil(loop, [&]() {
        return faulty.reports == 1;
    }));
    CHECK(faulty.result == HttpCallResult::Broken);
    CHECK(sound.reports == 0);
    CHECK(trusted.reports == 0);
    server.sockets.front()->write(std::string(soundBytes - firstBytes, 'x'));
    REQUIRE(fakes::runUntil(loop, [&]() {
        return sound.reports == 1;
    }));
    CHECK(sound.result == HttpCallResult::Complete);
    CHECK(sound.body.size() == soundBytes);
    CHECK(pool.heldBytes() == 0);
}

TEST_CASE("[HttpListener] Responses are framed, and an aborted response is not reported as complete")
{
    Loop loop;
    HttpListener listener(loop);
    REQUIRE(listener.open(serverAddress));
    HttpPool pool(loop);
    const std::string mode = GENERATE("complete", "chunked", "aborted");
    listener.onRequest([&](HttpListener::ExchangeId id, const HttpIncomingRequest &request) {
        HttpHead head;
        head.status = 200;
        head.reason = "OK";
        head.set("X-Id", request.head.value("X-Id"));
        if (mode == "complete") {
            listener.respond(id, head, "hello");
            return;
        }
        listener.begin(id, head, HttpBodyFraming::Chunked);
        listener.write(id, "hel");
        listener.write(id, "lo");
        if (mode == "chunked") {
            listener.finish(id);
        } else {
            listener.abort(id);
        }
    });
    FetchedResponse response;
    fetch(pool, loop, callWithId("1"), response);
    CHECK(response.result == (mode == "aborted" ? HttpCallResult::Broken : HttpCallResult::Complete));
    if (mode != "aborted") {
        CHECK(response.body == "hello");
    }
    CHECK(listener.openExchanges() == 0);
}
