#pragma once

#include "main/proxy/proxyservices.h"
#include "platform/requestcodec.h"
#include "servers/sseframer.h"
#include "servers/streamcontinuity.h"
#include "servers/trafficconfig.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronspar
{

/**
 * Relays the response of an endpoint to the caller. Event streams are forwarded
 * in whole events; other responses are buffered until they are complete, so that
 * a broken one can be replaced by the response of another attempt. The framing
 * of the caller's response never says more about its end than is known.
 */
class ResponseRelay
{
private:
    /** What happens to the body of the current attempt's response. */
    enum class Delivery {
        Buffered,
        Events,
        /** It can't continue the response that the caller has a part of. */
        Discarded,
    };

    ProxyServices &m_services;
    HttpListener::ExchangeId m_exchange;
    TimePoint m_arrivedAt;

    // The response of the current attempt.
    HttpHead m_head;
    platform::EndpointResponse m_response;
    HttpBodyFraming m_framing = HttpBodyFraming::Length;
    /** Negative if unknown. */
    std::int64_t m_contentLength = -1;
    Delivery m_delivery = Delivery::Buffered;
    bool m_hasEvents = false;
    bool m_isContinued = true;
    std::string m_buffer;
    SseFramer m_framer;

    // The response to the caller.
    StreamContinuity m_continuity;
    HttpBodyFraming m_callerFraming = HttpBodyFraming::Length;
    bool m_isForwarding = false;
    bool m_isForwardingEvents = false;
    Duration m_timeToFirstEvent{};

    void startForwarding(const TrafficRoute &route);
    void forwardEvents(const TrafficRoute &route, std::string_view data);
    void bufferData(const TrafficRoute &route, std::string_view data);
    void forwardBuffer(const TrafficRoute &route);
    bool isWholeJson() const;

public:
    /** @param arrivedAt when the request was received */
    ResponseRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrivedAt);

    /** Discards what the previous attempt has left incomplete. */
    void beginAttempt();

    /** Discards the head and the body of an attempt that has ended, as the next one may wait for long. */
    void discardHeld();

    /** Forwards what is buffered of a sound response, which another attempt can then no longer replace. */
    void forwardEarly(const TrafficRoute &route);

    /** What is held of the response, in bytes. */
    std::size_t heldBytes() const;

    /** @param contentLength length of the body in bytes; negative if unknown */
    void handleHead(const TrafficRoute &route, const HttpHead &head, HttpBodyFraming framing, std::int64_t contentLength);

    /** Returns whether the data belongs to a successful stream, which means that the endpoint has prefilled the prompt. */
    bool handleData(const TrafficRoute &route, std::string_view data);

    /**
     * Returns what shows that the response is not complete although its connection or body has ended in order; nullptr if
     * nothing does.
     */
    const char *incompleteness() const;

    /** Whether the end of the endpoint's response was marked. Otherwise it may have been cut, and nothing shows it. */
    bool isEndMarked() const;

    /** Sends the rest of the response once the endpoint has completed it. */
    void complete();

    /** Aborts the response, so that the caller sees it as incomplete. */
    void abort();

    /** Whether part of a response was sent to the caller. */
    bool isForwarding() const;

    /** Whether another attempt can continue the response. */
    bool canResume(const TrafficRoute &route) const;

    /** Whether the endpoint has sent more than is buffered of a response that can't be forwarded yet; it may go on without end. */
    bool isOversized() const;
    /** Whether the unsent output for the caller exceeds the buffer limit. */
    bool isCallerBacklogged() const;

    const platform::EndpointResponse &response() const;
    /** How the endpoint marks the end of its response. */
    HttpBodyFraming framing() const;
    /** Time from the arrival of the request to the first event; zero before that event. */
    Duration timeToFirstEvent() const;
    /** Returns the id of the last forwarded event, or nullopt before the first. */
    std::optional<std::string> lastEventId() const;
};

}
