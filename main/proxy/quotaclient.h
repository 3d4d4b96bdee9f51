#pragma once

#include "main/peerlinks.h"
#include "servers/quotagate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace citronspar
{

/** Asks the holders of client accounts for parts of their rates. */
class QuotaClient
{
public:
    enum class Outcome {
        Granted,
        Refused,
        /** The holder did not answer in time. */
        NoAnswer,
    };
    using AnswerHandler = std::function<void(Outcome outcome, Duration wait)>;
    using ReservationId = std::int64_t;

private:
    struct Pending
    {
        AnswerHandler handler;
        TimerService::TimerId timer = 0;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    std::map<ReservationId, Pending> m_pending;
    ReservationId m_lastId = 0;

    void finish(ReservationId id, Outcome outcome, Duration wait);

public:
    QuotaClient(DaemonCore &core, PeerLinks &links);

    /**
     * Asks for @p cost of an account's rate. The answer comes from the loop.
     * @param request the id of the request that it is for, for the holder's log
     * @param holders the addresses of the daemons of which one holds the account
     */
    ReservationId reserve(const std::string &request, const std::string &account, double cost, const std::set<std::string> &holders,
                          AnswerHandler handler);

    /** Ends a question without an answer. */
    void cancel(ReservationId id);
};

}
