#include "drivers/tcpsocket.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

using namespace citronspar;

namespace
{

struct SocketPair
{
    std::array<int, 2> ends{};

    SocketPair()
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    }

    void send(const std::string &text) const
    {
        REQUIRE(::write(ends[1], text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    }

    ~SocketPair()
    {
        ::close(ends[1]);
    }
};

void runFor(Loop &loop, Duration time)
{
    loop.timers().subscribeOnce(time, [&loop](TimePoint) {
        loop.stop();
    });
    loop.run();
}

}

TEST_CASE("[TcpSocket] A closed socket calls no handler, not even for an event of the same loop iteration")
{
    Loop loop;
    const SocketPair first;
    const SocketPair second;
    first.send("a");
    second.send("b");
    int calls = 0;
    std::array<std::unique_ptr<TcpSocket>, 2> sockets;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        TcpSocket::Handlers handlers;
        handlers.onData = [&, i](std::string_view) {
            ++calls;
            sockets.at(1 - i)->close();
        };
        handlers.onEnd = [&](SocketCloseReason) {
            ++calls;
        };
        sockets.at(i) = std::make_unique<TcpSocket>(loop, std::move(handlers));
    }
    REQUIRE(sockets[0]->adopt(first.ends[0]));
    REQUIRE(sockets[1]->adopt(second.ends[0]));
    runFor(loop, std::chrono::milliseconds(30));
    CHECK(calls == 1);
}

TEST_CASE("[TcpSocket] A clean close is distinguished from a reset")
{
    Loop loop;
    std::unique_ptr<TcpSocket> accepted;
    std::unique_ptr<TcpSocket> sender;
    std::optional<SocketCloseReason> closeReason;
    std::string received;
    TcpListener listener(loop, [&](int descriptor) {
        TcpSocket::Handlers handlers;
        handlers.onData = [&](std::string_view data) {
            received.append(data);
        };
        handlers.onEnd = [&](SocketCloseReason reason) {
            closeReason = reason;
            loop.stop();
        };
        accepted = std::make_unique<TcpSocket>(loop, std::move(handlers));
        accepted->adopt(descriptor);
    });
    const SocketAddress address{"127.0.0.1", 18999};
    REQUIRE(listener.open(address));
    const bool isReset = GENERATE(false, true);
    TcpSocket::Handlers handlers;
    handlers.onData = [](std::string_view) {};
    handlers.onConnected = [&]() {
        sender->write("final data");
        loop.timers().subscribeOnce(std::chrono::milliseconds(20), [&](TimePoint) {
            if (isReset) {
                sender->abort();
            } else {
                sender->close();
            }
        });
    };
    sender = std::make_unique<TcpSocket>(loop, std::move(handlers));
    REQUIRE(sender->connect(address));
    runFor(loop, std::chrono::seconds(20));
    CHECK(received == "final data");
    REQUIRE(closeReason.has_value());
    CHECK(*closeReason == (isReset ? SocketCloseReason::Reset : SocketCloseReason::Finished));
}
