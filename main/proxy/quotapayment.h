#pragma once

#include "core/errorkind.h"
#include "main/proxy/proxyservices.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <optional>
#include <string>

namespace citronspar
{

/** Takes what one request costs out of its client account's rate, from this daemon's part or from the holder. */
class QuotaPayment
{
public:
    /** Nothing when the request is paid for. */
    using Handler = std::function<void(std::optional<ErrorKind> refusal)>;

private:
    ProxyServices &m_services;
    const TrafficAccount &m_account;
    std::string m_request;
    double m_cost;
    TimePoint m_waitsUntil;
    Handler m_handler;
    QuotaClient::ReservationId m_reservation = 0;
    TimerService::TimerId m_timer = 0;
    bool m_isPaid = false;

    void takeReservation(QuotaClient::Outcome outcome, Duration wait);
    void finish(std::optional<ErrorKind> refusal);

public:
    /**
     * @param request the id of the request, for the logs
     * @param waitsUntil how long the request may wait for its account's rate
     */
    QuotaPayment(ProxyServices &services, const TrafficAccount &account, std::string request, double cost, TimePoint waitsUntil,
                 Handler handler);
    ~QuotaPayment();

    QuotaPayment(const QuotaPayment &) = delete;
    QuotaPayment &operator=(const QuotaPayment &) = delete;

    /** Pays, at once or later. */
    void pay();

    /** The request did not run. */
    void giveBack();
};

}
