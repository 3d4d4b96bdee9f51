#pragma once

#include "main/peerlinks.h"
#include "servers/endpointlimits.h"
#include "servers/quota/accountlimits.h"
#include "servers/quotagate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace citronspar
{

/** Reserves quota of client accounts, and requests to endpoints that limit them, at the endpoint daemons that hold the limits. */
class QuotaClient
{
public:
    enum class Outcome {
        Granted,
        Refused,
        /** The holder did not answer in time, or could not be reached. */
        NoResponse,
    };
    /** Receives the outcome and, if refused, the time after which to try again. */
    using AnswerHandler = std::function<void(Outcome outcome, Duration retryAfter)>;
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

    ReservationId send(const std::string &holder, const wire::Body &body, AnswerHandler handler);
    void finish(ReservationId id, Outcome outcome, Duration retryAfter);

public:
    QuotaClient(DaemonCore &core, PeerLinks &links);

    /**
     * Reserves @p cost units of the account's rate. The handler is always called asynchronously.
     * @param limit the limit of the account as this daemon knows it
     * @param requestId id of the request, for the log of the holder
     * @param candidates addresses of all endpoint daemons; rendezvous hashing selects the holder of the account
     */
    ReservationId reserve(const std::string &requestId, const std::string &account, const StatedLimit &limit, double cost,
                          const std::set<std::string> &candidates, AnswerHandler handler);

    /**
     * Reserves one request to an endpoint that limits its requests. The handler is always called asynchronously.
     * @param endpoint names one start of the endpoint
     * @param holder address of the endpoint daemon that holds the limit; empty if there is none
     * @param isHolderNew whether the previous request to the endpoint was reserved at another holder
     */
    ReservationId reserveRequest(const std::string &endpoint, const EndpointLimit &limit, const std::string &account,
                                 const std::string &holder, bool isHolderNew, AnswerHandler handler);

    /** The endpoint daemon that holds the limit of a name, which rendezvous hashing selects; empty without candidates. */
    static std::string selectHolder(const std::string &name, const std::set<std::string> &candidates);

    /** Cancels a reservation; its handler is not called. */
    void cancel(ReservationId id);
};

}
