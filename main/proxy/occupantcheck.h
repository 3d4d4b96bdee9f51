#pragma once

#include "drivers/decisionlog.h"
#include "drivers/httppool.h"
#include "servers/crashtracker.h"

#include <functional>
#include <map>
#include <string>

namespace citronspar
{

/** Asks the endpoint at an address for its id, by health checks on new connections. */
class OccupantCheck
{
public:
    using Handler = std::function<void(const std::string &id)>;

private:
    struct Check
    {
        EndpointStart start;
        std::string healthPath;
        Handler handler;
        int triesLeft = 0;
        HttpPool::CallId call = 0;
        TimerService::TimerId timer = 0;
    };

    Loop &m_loop;
    HttpPool &m_pool;
    DecisionLog &m_log;
    /** By the address. */
    std::map<std::string, Check> m_checks;

    void send(const std::string &address);
    void handleResponse(const std::string &address, HttpCallResult result, const HttpHead &head);

public:
    OccupantCheck(Loop &loop, HttpPool &pool, DecisionLog &log);
    ~OccupantCheck();

    OccupantCheck(const OccupantCheck &) = delete;
    OccupantCheck &operator=(const OccupantCheck &) = delete;

    /**
     * Asks whether @p start still listens at its address, unless a check of the address is running already. The handler
     * receives the id that the endpoint states, empty if it only states that it is another one; it is not called if no
     * response says so.
     */
    void start(const EndpointStart &start, const std::string &healthPath, Handler handler);
};

}
