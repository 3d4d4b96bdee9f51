#pragma once

#include "main/proxy/proxyservices.h"
#include "platform/requestcodec.h"
#include "servers/eventcutter.h"
#include "servers/trafficconfig.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronspar
{

/**
 * Brings an endpoint's answer to the caller. Streams pass event by event; other
 * answers are held until they are whole, so that a broken one can be replaced
 * by another try's.
 */
class AnswerRelay
{
private:
    ProxyServices &m_services;
    HttpListener::ExchangeId m_exchange;
    TimePoint m_arrived;

    HttpHead m_head;
    platform::EndpointAnswer m_answer;
    std::int64_t m_length = -1;
    std::string m_held;
    EventCutter m_events;
    bool m_isForwarding = false;
    Duration m_firstEventAfter{};

    void startForwarding(const TrafficRoute &route);
    void takeHeldData(const TrafficRoute &route, std::string_view data);

public:
    /** @param arrived when the request came */
    AnswerRelay(ProxyServices &services, HttpListener::ExchangeId exchange, TimePoint arrived);

    /** @param length of the body; negative when it isn't told */
    void takeHead(const HttpHead &head, std::int64_t length);

    /** Returns whether the data is part of a good stream, so that the endpoint has read the prompt. */
    bool takeData(const TrafficRoute &route, std::string_view data);

    /** Drops what the caller cannot be given of a try that broke off. */
    void dropUnfinished();

    /** The endpoint's answer is whole: passes on what is left of it. */
    void complete();

    /** The answer cannot be completed; the caller sees it break off. */
    void abort();

    /** Whether part of an answer has gone to the caller. */
    bool isForwarding() const;
    /** Whether the caller has more to take than should be buffered. */
    bool isBackedUp() const;

    const platform::EndpointAnswer &answer() const;
    /** From the arrival of the request to the first event; zero before it. */
    Duration firstEventAfter() const;
    /** The id of the last event passed on; nothing before the first. */
    std::optional<std::string> lastEventId() const;
};

}
