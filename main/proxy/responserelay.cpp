#include "main/proxy/responserelay.h"

#include "core/metrics.h"

namespace citronspar
{

namespace
{

// Responses other than event streams are buffered up to this size, so that a
// broken one can still be replaced by the response of another attempt.
constexpr std::size_t maxBufferedBytes = 256 * 1024;

// Limit on one event of a stream, which is buffered until it is complete.
constexpr std::size_t maxEventBytes = 1024 * 1024;

// Reading from the endpoint is paused while more than this is unsent to the caller.
constexpr std::size_t maxCallerBacklog = 256 * 1024;

// RFC 9110, section 15.4: successful status codes are below the redirection class.
constexpr int firstRedirectStatus = 300;

}

ResponseRelay::ResponseRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrivedAt)
    : m_services(services)
    , m_exchange(exchange)
    , m_arrivedAt(arrivedAt)
{
}

void ResponseRelay::handleHead(const HttpHead &head, HttpBodyFraming framing, std::int64_t contentLength)
{
    m_head = head;
    m_framing = framing;
    m_contentLength = contentLength;
    m_response = platform::decodeEndpointResponse(head);
    m_buffer.clear();
}

void ResponseRelay::startForwarding(const TrafficRoute &route)
{
    m_isForwarding = true;
    // A resumable stream may continue on another endpoint, so the length announced by the first one does not apply.
    m_services.listener.begin(m_exchange, platform::responseHead(m_head), route.isResumable ? -1 : m_contentLength);
}

void ResponseRelay::bufferData(const TrafficRoute &route, std::string_view data)
{
    m_buffer.append(data);
    if (m_buffer.size() <= maxBufferedBytes || !m_response.isSigned) {
        return;
    }
    if (!m_isForwarding) {
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, m_buffer);
    m_buffer.clear();
}

bool ResponseRelay::handleData(const TrafficRoute &route, std::string_view data)
{
    const bool isSuccessfulStream = route.isStream && m_response.isSigned && m_response.status < firstRedirectStatus;
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
        m_services.metrics.addSample("first event", m_timeToFirstEvent);
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, completeEvents);
    return true;
}

bool ResponseRelay::isInsideEvent() const
{
    return m_events.partial().find_first_not_of("\r\n") != std::string::npos;
}

void ResponseRelay::discardIncomplete()
{
    m_events.discardPartial();
    m_buffer.clear();
}

void ResponseRelay::complete()
{
    if (!m_isForwarding) {
        m_services.listener.respond(m_exchange, platform::responseHead(m_head), m_events.partial() + m_buffer);
        return;
    }
    m_services.listener.write(m_exchange, m_buffer);
    m_services.listener.write(m_exchange, m_events.partial());
    m_services.listener.finish(m_exchange);
}

void ResponseRelay::abort()
{
    m_services.listener.abort(m_exchange);
}

bool ResponseRelay::isForwarding() const
{
    return m_isForwarding;
}

bool ResponseRelay::isOversized() const
{
    return m_buffer.size() > maxBufferedBytes || m_events.partial().size() > maxEventBytes;
}

bool ResponseRelay::isCallerBacklogged() const
{
    return m_services.listener.bufferedBytes(m_exchange) > maxCallerBacklog;
}

const platform::EndpointResponse &ResponseRelay::response() const
{
    return m_response;
}

HttpBodyFraming ResponseRelay::framing() const
{
    return m_framing;
}

Duration ResponseRelay::timeToFirstEvent() const
{
    return m_timeToFirstEvent;
}

std::optional<std::string> ResponseRelay::lastEventId() const
{
    return m_events.hasEvents() ? std::optional<std::string>(m_events.lastEventId()) : std::nullopt;
}

}
