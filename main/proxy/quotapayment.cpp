#include "main/proxy/quotapayment.h"

#include <set>
#include <utility>

namespace citronspar
{

QuotaPayment::QuotaPayment(ProxyServices &services, const TrafficAccount &account, std::string request, double cost, TimePoint waitsUntil,
                           Handler handler)
    : m_services(services)
    , m_account(account)
    , m_request(std::move(request))
    , m_cost(cost)
    , m_waitsUntil(waitsUntil)
    , m_handler(std::move(handler))
{
}

QuotaPayment::~QuotaPayment()
{
    m_services.loop.timers().unsubscribe(m_timer);
    m_services.holders.cancel(m_reservation);
}

void QuotaPayment::pay()
{
    m_timer = 0;
    if (m_services.quotas.take(m_account, m_cost, Loop::now())) {
        finish(std::nullopt);
        return;
    }
    const std::set<std::string> &holders = m_services.engineLinks.daemonAddresses();
    m_reservation
        = m_services.holders.reserve(m_request, m_account.name, m_cost, holders, [this](QuotaClient::Outcome outcome, Duration wait) {
              takeReservation(outcome, wait);
          });
}

void QuotaPayment::takeReservation(QuotaClient::Outcome outcome, Duration wait)
{
    m_reservation = 0;
    const TimePoint now = Loop::now();
    if (outcome == QuotaClient::Outcome::Granted) {
        finish(std::nullopt);
    } else if (outcome == QuotaClient::Outcome::NoAnswer) {
        const bool isPaid = m_services.quotas.takeOverdrawn(m_account, m_cost, now);
        finish(isPaid ? std::nullopt : std::optional<ErrorKind>(ErrorKind::LimitsUnavailable));
    } else if (now + wait > m_waitsUntil) {
        finish(ErrorKind::OverLimit);
    } else {
        m_timer = m_services.loop.timers().subscribeOnce(wait, [this](TimePoint) {
            pay();
        });
    }
}

void QuotaPayment::finish(std::optional<ErrorKind> refusal)
{
    m_isPaid = !refusal.has_value();
    m_handler(refusal);
}

void QuotaPayment::giveBack()
{
    if (m_isPaid) {
        m_isPaid = false;
        m_services.quotas.giveBack(m_account, m_cost, Loop::now());
    }
}

}
