#include "main/proxy/endpointcheck.h"

#include <utility>

namespace citronspar
{

namespace
{

// A VM in the same region that runs, with or without the endpoint, answers within a few milliseconds.
constexpr Duration answerTimeout = std::chrono::milliseconds(300);

}

EndpointCheck::EndpointCheck(Loop &loop)
    : m_loop(loop)
{
}

EndpointCheck::~EndpointCheck()
{
    for (const std::pair<const std::uint64_t, Check> &entry : m_checks) {
        m_loop.timers().unsubscribe(entry.second.timer);
    }
}

const char *EndpointCheck::resultName(EndpointReachability result)
{
    switch (result) {
    case EndpointReachability::Accepts:
        return "accepted";
    case EndpointReachability::Refuses:
        return "refused";
    case EndpointReachability::NoAnswer:
        return "no answer";
    }
    return "";
}

void EndpointCheck::start(const SocketAddress &address, Handler handler)
{
    const std::uint64_t id = ++m_lastId;
    TcpSocket::Handlers handlers;
    handlers.onConnected = [this, id]() {
        finish(id, EndpointReachability::Accepts);
    };
    handlers.onEnd = [this, id](SocketCloseReason) {
        finish(id, EndpointReachability::Refuses);
    };
    Check &check = m_checks[id];
    check.handler = std::move(handler);
    check.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
    const bool isStarted = check.socket->connect(address);
    check.timer = m_loop.timers().subscribeOnce(isStarted ? answerTimeout : Duration::zero(), [this, id](TimePoint) {
        finish(id, EndpointReachability::NoAnswer);
    });
}

void EndpointCheck::finish(std::uint64_t id, EndpointReachability result)
{
    const auto found = m_checks.find(id);
    if (found == m_checks.end()) {
        return;
    }
    m_loop.timers().unsubscribe(found->second.timer);
    const Handler handler = std::move(found->second.handler);
    // This function may be called from a handler of the socket, so the socket is destroyed in the next loop iteration.
    const std::shared_ptr<TcpSocket> socket(std::move(found->second.socket));
    m_checks.erase(found);
    socket->close();
    m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
    handler(result);
}

}
