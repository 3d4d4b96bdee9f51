#pragma once

#include "core/errorkind.h"
#include "main/proxy/proxyservices.h"
#include "servers/quota/accountlimits.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <optional>
#include <string>

namespace citronspar
{

/** Acquires the quota for one request, from this daemon's share of the account's rate or by a reservation at the account's holder. */
class QuotaAcquisition
{
public:
    /**
     * Receives nullopt if the quota was acquired, otherwise the reason for the refusal and the time after which the account is
     * expected to have enough; zero if unknown.
     */
    using Handler = std::function<void(std::optional<ErrorKind> refusal, Duration wait)>;

private:
    ProxyServices &m_services;
    const TrafficAccount &m_account;
    std::string m_requestId;
    double m_cost;
    TimePoint m_waitDeadline;
    Handler m_handler;
    QuotaClient::ReservationId m_reservation = 0;
    TimerService::TimerId m_timer = 0;
    bool m_isAcquired = false;

    void handleReservation(QuotaClient::Outcome outcome, Duration retryAfter);
    /** The limit in the newest configuration, which may be newer than the one that the request is handled by. */
    StatedLimit newestLimit() const;
    void acquireAfter(Duration delay);
    void finish(std::optional<ErrorKind> refusal, Duration wait = Duration::zero());

public:
    /**
     * @param requestId id of the request, for the log of the holder
     * @param waitDeadline when to give up waiting for quota
     */
    QuotaAcquisition(ProxyServices &services, const TrafficAccount &account, std::string requestId, double cost, TimePoint waitDeadline,
                     Handler handler);
    ~QuotaAcquisition();

    QuotaAcquisition(const QuotaAcquisition &) = delete;
    QuotaAcquisition &operator=(const QuotaAcquisition &) = delete;

    /** Acquires the quota. The handler is called synchronously if this daemon's share suffices. */
    void acquire();

    /** Returns acquired quota for a request that did not run. */
    void refund();
};

}
