#pragma once

#include "drivers/tcpsocket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace citronspar::soak
{

/** A proxy on loopback that harms what passes through it. */
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        /** All bytes come late. */
        Delay,
        /** Open connections are reset, new ones too. */
        Reset,
        /** What the client sends is swallowed. */
        CutToServer,
        /** What the server sends is swallowed: requests run and their answers are lost. */
        CutToClient,
        /** Nothing passes either way. */
        Silent,
    };

private:
    using PairId = std::uint64_t;

    struct Pair
    {
        std::unique_ptr<TcpSocket> client;
        std::unique_ptr<TcpSocket> server;
    };

    Loop &m_loop;
    SocketAddress m_target;
    TcpPort m_port;
    std::map<PairId, Pair> m_pairs;
    PairId m_lastId = 0;
    Mode m_mode = Mode::Pass;

    void accept(int descriptor);
    void pass(PairId id, bool isToServer, std::string_view data);
    void deliver(PairId id, bool isToServer, const std::string &data);
    void drop(PairId id, bool isReset);

public:
    FaultProxy(Loop &loop, const SocketAddress &listen, const SocketAddress &target);

    void setMode(Mode mode);
};

}
