#include "main/proxy/quotaacquisition.h"

#include <set>
#include <utility>

namespace citronspar
{

namespace
{

// A daemon that has just started connects to the holders within this time.
constexpr Duration unreachableRetryDelay = std::chrono::milliseconds(15);

}

QuotaAcquisition::QuotaAcquisition(ProxyServices &services, const TrafficAccount &account, std::string requestId, double cost,
                                   TimePoint waitDeadline, Handler handler)
    : m_services(services)
    , m_account(account)
    , m_requestId(std::move(requestId))
    , m_cost(cost)
    , m_waitDeadline(waitDeadline)
    , m_handler(std::move(handler))
{
}

QuotaAcquisition::~QuotaAcquisition()
{
    m_services.loop.timers().unsubscribe(m_timer);
    m_services.quotaClient.cancel(m_reservation);
}

void QuotaAcquisition::acquire()
{
    m_timer = 0;
    if (m_services.quotaGate.tryConsume(m_account, m_cost, Loop::now())) {
        finish(std::nullopt);
        return;
    }
    const std::set<std::string> &candidates = m_services.engineLinks.daemonAddresses();
    m_reservation = m_services.quotaClient.reserve(m_requestId, m_account.name, newestLimit(), m_cost, candidates,
                                                   [this](QuotaClient::Outcome outcome, Duration retryAfter) {
                                                       handleReservation(outcome, retryAfter);
                                                   });
}

StatedLimit QuotaAcquisition::newestLimit() const
{
    const std::shared_ptr<const TrafficConfig> &config = m_services.operatorFeed.config();
    const TrafficAccount *account = config->findAccountByName(m_account.name);
    return account == nullptr ? StatedLimit() : StatedLimit{config->version, account->ratePerSecond, account->burst};
}

void QuotaAcquisition::handleReservation(QuotaClient::Outcome outcome, Duration retryAfter)
{
    m_reservation = 0;
    const TimePoint now = Loop::now();
    if (outcome == QuotaClient::Outcome::Granted) {
        finish(std::nullopt);
    } else if (outcome == QuotaClient::Outcome::NoResponse) {
        if (m_services.quotaGate.tryConsumeOverdrawn(m_account, m_cost, now)) {
            finish(std::nullopt);
        } else if (now + unreachableRetryDelay > m_waitDeadline) {
            finish(ErrorKind::LimitsUnavailable);
        } else {
            acquireAfter(unreachableRetryDelay);
        }
    } else if (now + retryAfter > m_waitDeadline) {
        finish(ErrorKind::OverLimit, retryAfter);
    } else {
        acquireAfter(retryAfter);
    }
}

void QuotaAcquisition::acquireAfter(Duration delay)
{
    m_timer = m_services.loop.timers().subscribeOnce(delay, [this](TimePoint) {
        acquire();
    });
}

void QuotaAcquisition::finish(std::optional<ErrorKind> refusal, Duration wait)
{
    m_isAcquired = !refusal.has_value();
    m_handler(refusal, wait);
}

void QuotaAcquisition::refund()
{
    if (m_isAcquired) {
        m_isAcquired = false;
        m_services.quotaGate.refund(m_account, m_cost, Loop::now());
    }
}

}
