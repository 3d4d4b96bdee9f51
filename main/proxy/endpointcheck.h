#pragma once

#include "drivers/tcpsocket.h"
#include "servers/crashtracker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace citronspar
{

/** Finds out whether the process that listened at an address has ended, by a connection without a request. */
class EndpointCheck
{
public:
    using Handler = std::function<void(EndpointReachability result)>;

private:
    struct Check
    {
        std::unique_ptr<TcpSocket> socket;
        Handler handler;
        TimerService::TimerId timer = 0;
    };

    Loop &m_loop;
    std::map<std::uint64_t, Check> m_checks;
    std::uint64_t m_lastId = 0;

    void finish(std::uint64_t id, EndpointReachability result);

public:
    explicit EndpointCheck(Loop &loop);
    ~EndpointCheck();

    EndpointCheck(const EndpointCheck &) = delete;
    EndpointCheck &operator=(const EndpointCheck &) = delete;

    /** The name of a result, for the log. */
    static const char *resultName(EndpointReachability result);

    /** Starts a check. The handler is always called asynchronously. */
    void start(const SocketAddress &address, Handler handler);
};

}
