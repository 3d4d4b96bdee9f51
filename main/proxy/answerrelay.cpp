#include "main/proxy/answerrelay.h"

#include "core/metrics.h"

namespace citronspar
{

namespace
{

// Responses other than event streams are buffered up to this size, so that a
// broken one can still be replaced by the response of another attempt.
constexpr std::size_t maxBufferedBytes = 256 * 1024;

// Reading from the endpoint is paused while more than this is unsent to the caller.
constexpr std::size_t maxCallerBacklog = 256 * 1024;

// RFC 9110, section 15.4: successful status codes are below the redirection class.
constexpr int firstRedirectStatus = 300;

}

AnswerRelay::AnswerRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrivedAt)
    : m_services(services)
    , m_exchange(exchange)
    , m_arrivedAt(arrivedAt)
{
}

void AnswerRelay::handleHead(const HttpHead &head, std::int64_t contentLength)
{
    m_head = head;
    m_contentLength = contentLength;
    m_answer = platform::decodeEndpointAnswer(head);
    m_buffer.clear();
}

void AnswerRelay::startForwarding(const TrafficRoute &route)
{
    m_isForwarding = true;
    // A resumable stream may continue on another endpoint, so the length announced by the first one does not apply.
    m_services.listener.begin(m_exchange, platform::answerHead(m_head), route.isResumable ? -1 : m_contentLength);
}

void AnswerRelay::bufferData(const TrafficRoute &route, std::string_view data)
{
    m_buffer.append(data);
    if (m_buffer.size() <= maxBufferedBytes || !m_answer.isSigned) {
        return;
    }
    if (!m_isForwarding) {
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, m_buffer);
    m_buffer.clear();
}

bool AnswerRelay::handleData(const TrafficRoute &route, std::string_view data)
{
    const bool isSuccessfulStream = route.isStream && m_answer.isSigned && m_answer.status < firstRedirectStatus;
    if (!isSuccessfulStream) {
        bufferData(route, data);
        return false;
    }
    const std::string completeEvents = m_events.add(data);
    if (completeEvents.empty()) {
        return true;
    }
    if (!m_isForwarding) {
        m_timeToFirstEvent = Loop::now() - m_arrivedAt;
        m_services.metrics.sample("first event", m_timeToFirstEvent);
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, completeEvents);
    return true;
}

void AnswerRelay::discardIncomplete()
{
    m_events.dropPartial();
    m_buffer.clear();
}

void AnswerRelay::complete()
{
    if (!m_isForwarding) {
        m_services.listener.respond(m_exchange, platform::answerHead(m_head), m_events.partial() + m_buffer);
        return;
    }
    m_services.listener.write(m_exchange, m_buffer);
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

bool AnswerRelay::isCallerBacklogged() const
{
    return m_services.listener.bufferedBytes(m_exchange) > maxCallerBacklog;
}

const platform::EndpointAnswer &AnswerRelay::answer() const
{
    return m_answer;
}

Duration AnswerRelay::timeToFirstEvent() const
{
    return m_timeToFirstEvent;
}

std::optional<std::string> AnswerRelay::lastEventId() const
{
    return m_events.hasEvents() ? std::optional<std::string>(m_events.lastId()) : std::nullopt;
}

}
