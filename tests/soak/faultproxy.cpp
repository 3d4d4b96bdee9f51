#include "tests/soak/faultproxy.h"

#include <utility>

namespace citronspar::soak
{

namespace
{

constexpr Duration delay = std::chrono::milliseconds(120);

}

FaultProxy::FaultProxy(Loop &loop, const SocketAddress &listen, const SocketAddress &target)
    : m_loop(loop)
    , m_target(target)
    , m_port(loop, [this](int descriptor) {
        accept(descriptor);
    })
{
    m_port.open(listen);
}

void FaultProxy::accept(int descriptor)
{
    const PairId id = ++m_lastId;
    const auto handlersFor = [this, id](bool isToServer) {
        TcpSocket::Handlers handlers;
        handlers.onData = [this, id, isToServer](std::string_view data) {
            pass(id, isToServer, data);
        };
        handlers.onEnd = [this, id](SocketEnd) {
            drop(id, false);
        };
        return handlers;
    };
    Pair &pair = m_pairs[id];
    pair.client = std::make_unique<TcpSocket>(m_loop, handlersFor(true));
    pair.server = std::make_unique<TcpSocket>(m_loop, handlersFor(false));
    const bool isOpen = pair.client->adopt(descriptor) && m_mode != Mode::Reset && pair.server->connect(m_target);
    if (!isOpen) {
        drop(id, true);
    }
}

void FaultProxy::pass(PairId id, bool isToServer, std::string_view data)
{
    const bool isSwallowed = m_mode == Mode::Silent || m_mode == (isToServer ? Mode::CutToServer : Mode::CutToClient);
    if (isSwallowed) {
        return;
    }
    if (m_mode != Mode::Delay) {
        deliver(id, isToServer, std::string(data));
        return;
    }
    m_loop.timers().subscribeOnce(delay, [this, id, isToServer, late = std::string(data)](TimePoint) {
        deliver(id, isToServer, late);
    });
}

void FaultProxy::deliver(PairId id, bool isToServer, const std::string &data)
{
    const auto found = m_pairs.find(id);
    if (found != m_pairs.end()) {
        (isToServer ? found->second.server : found->second.client)->write(data);
    }
}

void FaultProxy::drop(PairId id, bool isReset)
{
    const auto found = m_pairs.find(id);
    if (found == m_pairs.end()) {
        return;
    }
    const std::shared_ptr<Pair> pair = std::make_shared<Pair>(std::move(found->second));
    m_pairs.erase(found);
    // A socket may not be destroyed in a handler of the other one.
    m_loop.timers().subscribeOnce(Duration::zero(), [pair, isReset](TimePoint) {
        for (const std::unique_ptr<TcpSocket> &socket : {std::ref(pair->client), std::ref(pair->server)}) {
            if (isReset) {
                socket->abortOnClose();
            } else {
                socket->close();
            }
        }
    });
}

void FaultProxy::setMode(Mode mode)
{
    const bool wasLossy = m_mode == Mode::CutToServer || m_mode == Mode::CutToClient || m_mode == Mode::Silent;
    m_mode = mode;
    // TCP loses no bytes inside a connection: what was swallowed ends with it.
    if (mode != Mode::Reset && !wasLossy) {
        return;
    }
    while (!m_pairs.empty()) {
        drop(m_pairs.begin()->first, true);
    }
}

}
