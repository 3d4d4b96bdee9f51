#include "main/proxy/quotaclient.h"

#include "core/hash.h"

#include <cmath>
#include <utility>

namespace citronspar
{

namespace
{

// A holder in the same region answers in a few milliseconds; the latency
// objectives of callers do not allow a longer wait.
constexpr Duration answerTimeout = std::chrono::milliseconds(60);

constexpr std::uint64_t holderSeed = 0x40de;

}

QuotaClient::QuotaClient(DaemonCore &core, PeerLinks &links)
    : m_core(core)
    , m_links(links)
{
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.reserveAnswer) {
            const wire::ReserveAnswer &answer = body.reserveAnswer;
            finish(answer.reservationId, answer.isGranted ? Outcome::Granted : Outcome::Refused,
                   std::chrono::milliseconds(answer.retryAfterMilliseconds));
        }
    });
}

std::string QuotaClient::selectHolder(const std::string &name, const std::set<std::string> &candidates)
{
    std::string holder;
    std::uint64_t best = 0;
    for (const std::string &address : candidates) {
        const std::uint64_t weight = hashBytes(address, hashBytes(name, holderSeed));
        if (holder.empty() || weight > best) {
            holder = address;
            best = weight;
        }
    }
    return holder;
}

QuotaClient::ReservationId QuotaClient::reserve(const std::string &requestId, const std::string &account, const StatedLimit &limit,
                                                double cost, const std::set<std::string> &candidates, AnswerHandler handler)
{
    wire::Reserve message;
    message.__set_reservationId(m_lastId + 1);
    message.__set_account(account);
    message.__set_request(requestId);
    message.__set_tokens(static_cast<std::int64_t>(std::ceil(cost)));
    message.__set_configVersion(limit.version);
    message.__set_ratePerSecond(limit.ratePerSecond);
    message.__set_burst(limit.burst);
    wire::Body body;
    body.__set_reserve(message);
    return send(selectHolder(account, candidates), body, std::move(handler));
}

QuotaClient::ReservationId QuotaClient::reserveRequest(const std::string &endpoint, const EndpointLimit &limit, const std::string &account,
                                                       const std::string &holder, bool isHolderNew, AnswerHandler handler)
{
    wire::EndpointReserve message;
    message.__set_reservationId(m_lastId + 1);
    message.__set_endpoint(endpoint);
    message.__set_requestsPerSecond(limit.requestsPerSecond);
    message.__set_statementAgeMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(Loop::now() - limit.statedAt).count());
    message.__set_account(account);
    message.__set_isHolderNew(isHolderNew);
    wire::Body body;
    body.__set_endpointReserve(message);
    return send(holder, body, std::move(handler));
}

QuotaClient::ReservationId QuotaClient::send(const std::string &holder, const wire::Body &body, AnswerHandler handler)
{
    const ReservationId id = ++m_lastId;
    Pending &pending = m_pending[id];
    pending.handler = std::move(handler);
    const bool isSent = !holder.empty() && m_links.sendTo(holder, body);
    pending.timer = m_core.timers().subscribeOnce(isSent ? answerTimeout : Duration::zero(), [this, id](TimePoint) {
        finish(id, Outcome::NoResponse, Duration::zero());
    });
    return id;
}

void QuotaClient::finish(ReservationId id, Outcome outcome, Duration retryAfter)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const AnswerHandler handler = std::move(found->second.handler);
    m_core.timers().unsubscribe(found->second.timer);
    m_pending.erase(found);
    handler(outcome, retryAfter);
}

void QuotaClient::cancel(ReservationId id)
{
    const auto found = m_pending.find(id);
    if (found != m_pending.end()) {
        m_core.timers().unsubscribe(found->second.timer);
        m_pending.erase(found);
    }
}

}
