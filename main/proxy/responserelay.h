#pragma once

#include "main/proxy/proxyservices.h"
#include "platform/requestcodec.h"
#include "servers/sseframer.h"
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
 * a broken one can be replaced by the response of another attempt.
 */
class ResponseRelay
{
private:
    ProxyServices &m_services;
    HttpListener::ExchangeId m_exchange;
    TimePoint m_arrivedAt;

    HttpHead m_head;
    platform::EndpointResponse m_response;
    HttpBodyFraming m_framing = HttpBodyFraming::Length;
    /** Negative if unknown. */
    std::int64_t m_contentLength = -1;
    std::string m_buffer;
    SseFramer m_events;
    bool m_isForwarding = false;
    Duration m_timeToFirstEvent{};

    void startForwarding(const TrafficRoute &route);
    void bufferData(const TrafficRoute &route, std::string_view data);

public:
    /** @param arrivedAt when the request was received */
    ResponseRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrivedAt);

    /** @param contentLength length of the body in bytes; negative if unknown */
    void handleHead(const HttpHead &head, HttpBodyFraming framing, std::int64_t contentLength);

    /** Returns whether the data belongs to a successful stream, which means that the endpoint has prefilled the prompt. */
    bool handleData(const TrafficRoute &route, std::string_view data);

    /** Whether the attempt has sent part of an event and not its end. A stream that ends so was broken off. */
    bool isInsideEvent() const;

    /** Discards the incomplete event or buffered body of an attempt that broke off. */
    void discardIncomplete();

    /** Sends the rest of the response once the endpoint has completed it. */
    void complete();

    /** Aborts the response, so that the caller sees it as incomplete. */
    void abort();

    /** Whether part of a response was sent to the caller. */
    bool isForwarding() const;

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
