#include "main/proxy/quotapayment.h"

#include <set>
#include <utility>

namespace citronspar
{

QuotaPayment::QuotaPayment(ProxyServices &services, const TrafficAccount &account, std::string request, double cost, TimePoint waitDeadline,
                           Handler handler)
    : m_services(services)
    , m_account(account)
    , m_request(std::move(request))
    , m_cost(cost)
    , m_waitDeadline(waitDeadline)
    , m_handler(std::move(handler))
{
}

QuotaPayment::~QuotaPayment()
{
    m_services.loop.timers().unsubscribe(m_timer);
    m_services.quotaClient.cancel(m_reservation);
}

void QuotaPayment::acquire()
{
    m_timer = 0;
    if (m_services.quotaGate.take(m_account, m_cost, Loop::now())) {
        finish(std::nullopt);
        return;
    }
    const std::set<std::string> &candidates = m_services.engineLinks.daemonAddresses();
    m_reservation = m_services.quotaClient.reserve(m_request, m_account.name, m_cost, candidates,
                                                   [this](QuotaClient::Outcome outcome, Duration wait) {
                                                       handleReservation(outcome, wait);
                                                   });
}

void QuotaPayment::handleReservation(QuotaClient::Outcome outcome, Duration wait)
{
    m_reservation = 0;
    const TimePoint now = Loop::now();
    if (outcome == QuotaClient::Outcome::Granted) {
        finish(std::nullopt);
    } else if (outcome == QuotaClient::Outcome::NoAnswer) {
        const bool isAcquired = m_services.quotaGate.takeOverdrawn(m_account, m_cost, now);
        finish(isAcquired ? std::nullopt : std::optional<ErrorKind>(ErrorKind::LimitsUnavailable));
    } else if (now + wait > m_waitDeadline) {
        finish(ErrorKind::OverLimit);
    } else {
        m_timer = m_services.loop.timers().subscribeOnce(wait, [this](TimePoint) {
            acquire();
        });
    }
}

void QuotaPayment::finish(std::optional<ErrorKind> refusal)
{
    m_isAcquired = !refusal.has_value();
    m_handler(refusal);
}

void QuotaPayment::refund()
{
    if (m_isAcquired) {
        m_isAcquired = false;
        m_services.quotaGate.giveBack(m_account, m_cost, Loop::now());
    }
}

}
