#pragma once

#include "core/errorkind.h"
#include "main/proxy/answerrelay.h"
#include "main/proxy/placesearch.h"
#include "main/proxy/proxyservices.h"
#include "main/proxy/quotapayment.h"
#include "platform/requestcodec.h"
#include "servers/attemptledger.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** One request of a caller on its way to an endpoint and back. */
class ProxyCall
{
public:
    using EndHandler = std::function<void(HttpListener::ExchangeId id)>;

private:
    ProxyServices &m_services;
    HttpListener::ExchangeId m_exchange;
    HttpIncoming m_incoming;
    platform::CallerRequest m_request;
    EndHandler m_onEnd;
    AnswerRelay m_relay;
    std::shared_ptr<const TrafficConfig> m_config;
    const TrafficRoute *m_route = nullptr;
    const TrafficAccount *m_account = nullptr;
    std::string m_service;
    bool m_isEngineService = false;
    std::optional<AttemptLedger> m_ledger;
    PlacedPrompt m_prompt;
    std::optional<PlaceSearch> m_places;
    TimerService::TimerId m_timeoutTimer = 0;
    TimePoint m_timeoutAt{};
    std::unique_ptr<QuotaPayment> m_payment;

    HttpPool::CallId m_call = 0;
    std::string m_endpoint;
    std::vector<std::string> m_excluded;
    bool m_hasFirstToken = false;
    std::string m_cacheSalt;

    bool m_isEnded = false;

    EndpointPlacement &placement();
    std::optional<ErrorKind> admit();
    void pay();
    void send();
    bool isKeyStillGood() const;
    void sendTo(const EndpointPlacement::Choice &choice);
    platform::ForwardTraits traitsFor(const EndpointPlacement::Choice &choice) const;

    void takeData(std::string_view data);
    void takeEnd(HttpCallEnd end);
    void takeNotRun();
    void takeBroken();
    void takeComplete();
    void leaveEndpoint();
    void noteFirstToken();
    void retryOrFail(ErrorKind kind);
    void timeOut();
    void finish(const char *outcome);
    void fail(ErrorKind kind);
    void logOutcome(const char *outcome);

public:
    ProxyCall(ProxyServices &services, HttpListener::ExchangeId exchange, HttpIncoming incoming, EndHandler onEnd);
    ~ProxyCall();

    ProxyCall(const ProxyCall &) = delete;
    ProxyCall &operator=(const ProxyCall &) = delete;

    void start();

    /** The caller has gone; the endpoint is told by a closed connection. */
    void callerGone();

    /** The caller has taken the output so far. */
    void callerDrained();
};

}
