#include "main/proxy/answerrelay.h"

#include "core/metrics.h"

namespace citronspar
{

namespace
{

// Answers without a stream are held until they are whole, up to this size, so
// that a broken one can still be replaced.
constexpr std::size_t maxHeldBytes = 256 * 1024;

// The endpoint is slowed down while the caller has this much to take.
constexpr std::size_t maxCallerBacklog = 256 * 1024;

// RFC 9110, 15.3: statuses of success are below this one.
constexpr int firstRedirection = 300;

}

AnswerRelay::AnswerRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrived)
    : m_services(services)
    , m_exchange(exchange)
    , m_arrived(arrived)
{
}

void AnswerRelay::takeHead(const HttpHead &head, std::int64_t length)
{
    m_head = head;
    m_length = length;
    m_answer = platform::decodeEndpointAnswer(head);
    m_held.clear();
}

void AnswerRelay::startForwarding(const TrafficRoute &route)
{
    m_isForwarding = true;
    // A stream may go on at another endpoint, so the length of its first part says nothing.
    m_services.listener.begin(m_exchange, platform::answerHead(m_head), route.isResumable ? -1 : m_length);
}

void AnswerRelay::takeHeldData(const TrafficRoute &route, std::string_view data)
{
    m_held.append(data);
    if (m_held.size() <= maxHeldBytes || !m_answer.isSigned) {
        return;
    }
    if (!m_isForwarding) {
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, m_held);
    m_held.clear();
}

bool AnswerRelay::takeData(const TrafficRoute &route, std::string_view data)
{
    const bool isGoodStream = route.isStream && m_answer.isSigned && m_answer.status < firstRedirection;
    if (!isGoodStream) {
        takeHeldData(route, data);
        return false;
    }
    const std::string whole = m_events.add(data);
    if (whole.empty()) {
        return true;
    }
    if (!m_isForwarding) {
        m_firstEventAfter = Loop::now() - m_arrived;
        m_services.metrics.sample("first event", m_firstEventAfter);
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, whole);
    return true;
}

void AnswerRelay::dropUnfinished()
{
    m_events.dropPartial();
    m_held.clear();
}

void AnswerRelay::complete()
{
    if (!m_isForwarding) {
        m_services.listener.respond(m_exchange, platform::answerHead(m_head), m_events.partial() + m_held);
        return;
    }
    m_services.listener.write(m_exchange, m_held);
    m_services.listener.write(m_exchange, m_events.partial());
    m_services.listener.finish(m_exchange);
}

void AnswerRelay::abort()
{
    m_services.listener.abort(m_exchange);
}

bool AnswerRelay::isForwarding() const
{
    return m_isForwarding;
}

bool AnswerRelay::isBackedUp() const
{
    return m_services.listener.bufferedBytes(m_exchange) > maxCallerBacklog;
}

const platform::EndpointAnswer &AnswerRelay::answer() const
{
    return m_answer;
}

Duration AnswerRelay::firstEventAfter() const
{
    return m_firstEventAfter;
}

std::optional<std::string> AnswerRelay::lastEventId() const
{
    return m_events.hasEvents() ? std::optional<std::string>(m_events.lastId()) : std::nullopt;
}

}
