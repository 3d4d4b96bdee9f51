#include "main/proxy/responserelay.h"

#include "core/longbuffer.h"
#include "core/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

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

constexpr std::string_view eventStreamType = "text/event-stream";
constexpr std::string_view jsonType = "application/json";

/** The media type without parameters, in lower case; empty if the response states none. */
std::string mediaType(const HttpHead &head)
{
    const std::string value = head.value("Content-Type");
    std::string type = value.substr(0, value.find(';'));
    type.erase(type.find_last_not_of(" \t") + 1);
    std::transform(type.begin(), type.end(), type.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return type;
}

}

ResponseRelay::ResponseRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrivedAt)
    : m_services(services)
    , m_exchange(exchange)
    , m_arrivedAt(arrivedAt)
{
}

void ResponseRelay::beginAttempt()
{
    m_response = platform::EndpointResponse();
    m_delivery = Delivery::Buffered;
    m_hasEvents = false;
    m_isContinued = true;
    discardHeld();
    m_continuity.beginAttempt();
}

void ResponseRelay::discardHeld()
{
    m_head = HttpHead();
    releaseLong(m_buffer);
    // The old framer is destroyed with its memory, which an assignment would keep.
    std::exchange(m_framer, SseFramer());
}

void ResponseRelay::handleHead(const TrafficRoute &route, const HttpHead &head, HttpBodyFraming framing, std::int64_t contentLength)
{
    m_head = head;
    m_framing = framing;
    m_contentLength = contentLength;
    m_response = platform::decodeEndpointResponse(head);
    const std::string type = mediaType(head);
    const bool isSuccess = m_response.isSigned && m_response.status < firstRedirectStatus;
    m_hasEvents = type == eventStreamType || (type.empty() && route.isStream && isSuccess);
    const bool isStream = m_hasEvents && route.isStream && isSuccess;
    m_delivery = isStream ? Delivery::Events : (m_isForwarding ? Delivery::Discarded : Delivery::Buffered);
}

void ResponseRelay::startForwarding(const TrafficRoute &route)
{
    m_isForwarding = true;
    m_isForwardingEvents = m_delivery == Delivery::Events;
    // A resumable stream may continue on another endpoint, so the length announced by the first one does not apply.
    const bool isLengthKnown = m_framing == HttpBodyFraming::Length && !canResume(route);
    m_callerFraming = m_framing == HttpBodyFraming::Length && !isLengthKnown ? HttpBodyFraming::Chunked : m_framing;
    m_services.listener.begin(m_exchange, platform::responseHead(m_head), m_callerFraming, m_contentLength);
}

void ResponseRelay::bufferData(const TrafficRoute &route, std::string_view data)
{
    if (m_hasEvents) {
        m_framer.add(data);
    }
    appendLong(m_buffer, data);
    if (m_buffer.size() <= maxBufferedBytes || !m_response.isSigned) {
        return;
    }
    forwardBuffer(route);
}

void ResponseRelay::forwardBuffer(const TrafficRoute &route)
{
    if (!m_isForwarding) {
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, m_buffer);
    releaseLong(m_buffer);
}

void ResponseRelay::forwardEarly(const TrafficRoute &route)
{
    const bool isFinal = m_response.isSigned && !m_response.isNotRun && m_response.status < firstRedirectStatus;
    if (isFinal && m_delivery == Delivery::Buffered && !m_buffer.empty()) {
        forwardBuffer(route);
    }
}

std::size_t ResponseRelay::heldBytes() const
{
    return m_buffer.size() + m_framer.heldBytes();
}

void ResponseRelay::forwardEvents(const TrafficRoute &route, std::string_view data)
{
    std::string forwarded;
    for (const SseEvent &event : m_framer.add(data)) {
        const StreamContinuity::Verdict verdict = m_isContinued ? m_continuity.add(event) : StreamContinuity::Verdict::NotContinued;
        m_isContinued = verdict != StreamContinuity::Verdict::NotContinued;
        if (verdict == StreamContinuity::Verdict::Forward) {
            forwarded += event.text;
        }
    }
    if (forwarded.empty()) {
        return;
    }
    if (!m_isForwarding) {
        m_timeToFirstEvent = Loop::now() - m_arrivedAt;
        m_services.metrics.addSample("first event", m_timeToFirstEvent);
        startForwarding(route);
    }
    m_services.listener.write(m_exchange, forwarded);
}

bool ResponseRelay::handleData(const TrafficRoute &route, std::string_view data)
{
    switch (m_delivery) {
    case Delivery::Events:
        forwardEvents(route, data);
        return true;
    case Delivery::Buffered:
        bufferData(route, data);
        return false;
    case Delivery::Discarded:
        return false;
    }
    return false;
}

bool ResponseRelay::isWholeJson() const
{
    return !m_isForwarding && mediaType(m_head) == jsonType && nlohmann::json::accept(m_buffer);
}

const char *ResponseRelay::incompleteness() const
{
    if (m_delivery == Delivery::Discarded || !m_isContinued) {
        return "stream not continued";
    }
    if (m_hasEvents && m_framer.isInsideEvent()) {
        return "ended inside an event";
    }
    if (m_framing != HttpBodyFraming::ConnectionEnd) {
        return nullptr;
    }
    if (m_hasEvents && !m_framer.hasData()) {
        return "ended before the first event";
    }
    if (!m_isForwarding && mediaType(m_head) == jsonType && !isWholeJson()) {
        return "ended inside a JSON value";
    }
    // The end of the caller's response would say that all of it was received.
    const bool endsMarkedResponse = m_isForwarding && m_callerFraming != HttpBodyFraming::ConnectionEnd;
    return endsMarkedResponse ? "end not marked" : nullptr;
}

bool ResponseRelay::isEndMarked() const
{
    return m_framing != HttpBodyFraming::ConnectionEnd || isWholeJson();
}

void ResponseRelay::complete()
{
    const std::string rest = m_delivery == Delivery::Events ? m_framer.partial() : m_buffer;
    if (!m_isForwarding && isEndMarked()) {
        m_services.listener.respond(m_exchange, platform::responseHead(m_head), rest);
        return;
    }
    if (!m_isForwarding) {
        m_services.listener.begin(m_exchange, platform::responseHead(m_head), HttpBodyFraming::ConnectionEnd, m_contentLength);
    }
    m_services.listener.write(m_exchange, rest);
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

bool ResponseRelay::canResume(const TrafficRoute &route) const
{
    return route.isResumable && (!m_isForwarding || m_isForwardingEvents) && m_continuity.canResume();
}

bool ResponseRelay::isOversized() const
{
    return m_buffer.size() > maxBufferedBytes || m_framer.partial().size() > maxEventBytes;
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
    return m_continuity.lastId();
}

}
