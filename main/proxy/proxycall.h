#pragma once

#include "core/errorkind.h"
#include "main/proxy/endpointsearch.h"
#include "main/proxy/proxyservices.h"
#include "main/proxy/quotaacquisition.h"
#include "main/proxy/responserelay.h"
#include "main/proxy/streamhold.h"
#include "main/rollouts/rolloutclient.h"
#include "platform/requestcodec.h"
#include "servers/attempttracker.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** Proxies one request: admits it, acquires quota, forwards it to an endpoint with retries and relays the response. */
class ProxyCall
{
public:
    using EndHandler = std::function<void(HttpListener::ExchangeId id)>;

private:
    ProxyServices &m_services;
    HttpListener::ExchangeId m_exchange;
    HttpIncomingRequest m_incoming;
    platform::CallerRequest m_request;
    EndHandler m_onEnd;
    ResponseRelay m_relay;
    std::shared_ptr<const TrafficConfig> m_config;
    const TrafficRoute *m_route = nullptr;
    const TrafficAccount *m_account = nullptr;
    std::string m_service;
    std::optional<AttemptTracker> m_attemptTracker;
    /** From 0, the most urgent, to 9. The account's own one goes before that of the route. */
    int m_priority = 0;
    PlacedPrompt m_prompt;
    std::optional<EndpointSearch> m_endpointSearch;
    TimerService::TimerId m_timeoutTimer = 0;
    TimePoint m_timeoutAt{};
    std::unique_ptr<QuotaAcquisition> m_quotaAcquisition;
    /** What may make an engine crash that runs the request. */
    std::vector<CrashSuspect> m_suspects;
    CrashGuard::ClaimId m_trialClaim = 0;
    /** The pending reservation at the holder of an endpoint's limit. */
    QuotaClient::ReservationId m_endpointReservation = 0;
    /** The endpoint start for which the next attempt is reserved, and when the reservation was granted. */
    std::string m_reservedStart;
    TimePoint m_reservedAt{};
    /** The shortest wait that holders of endpoints' limits have named. */
    std::optional<Duration> m_limitWait;

    VersionLookups::LookupId m_versionLookup = 0;
    StreamHold m_streamHold;
    /** The software version of the endpoint that the current attempt was sent to. */
    std::string m_sentVersion;

    HttpPool::CallId m_endpointCall = 0;
    std::string m_endpoint;
    /** The incarnation of the endpoint that the current attempt was sent to. */
    EndpointStart m_endpointStart;
    std::vector<std::string> m_triedEndpoints;
    /** The weights version of the engine that the request was sent to. */
    std::int64_t m_sentWeights = 0;
    std::string m_cacheSalt;
    /** When the current attempt was sent. */
    TimePoint m_sentAt{};
    /** Which software versions the next attempt may go to; nullopt if roll-outs are off, or after the attempt was sent. */
    std::optional<RolloutClient::Decision> m_versionDecision;
    /** Whether the versions of the next attempt were decided again since the decision about them had become obsolete. */
    bool m_isVersionRedecided = false;
    /** The current attempt; 0 if roll-outs are off. */
    RolloutClient::AttemptId m_rolloutAttempt = 0;

    bool m_isEngineService = false;
    /** Whether the request is the trial of a blocked suspect. It is sent to one endpoint only. */
    bool m_isTrial = false;
    /** Whether the response is a stream that may go on at another endpoint, and only at the same software version. */
    bool m_isResumable = false;
    /** The endpoint may have started again since the current attempt was sent. */
    bool m_isStartDoubtful = false;
    bool m_isPromptDone = false;
    bool m_isEnded = false;

    EndpointPlacement &placement();
    std::optional<ErrorKind> admit();
    /** The client account that the key belongs to; empty without a known key. */
    std::string callerName() const;
    /** Whether the caller takes a stream up that has begun. */
    bool isTakeUp() const;
    void findVersion();
    void acquireQuota();
    void send();
    void search();
    /** Decides which software versions the next attempt may go to, and returns whether there are any. */
    bool decideVersions();
    /** If no endpoint of the version that was granted can take the request, searches among the others. Returns whether it does. */
    bool searchOtherVersions();
    /** Whether the decision about the next attempt still holds, and is for the version of @p endpoint. */
    bool isVersionAllowed(const ListedEndpoint &endpoint) const;
    void returnVersionGrant();
    /** Decides about the next attempt again, once, and fails the request if that decision does not hold either. */
    void redecideVersions();
    /** Counts the end of the current attempt for a roll-out. */
    void recordAttemptEnd(HttpCallResult result);
    bool isKeyStillValid() const;
    /** The time until the caller or the route gives up. */
    Duration remainingTime() const;
    void sendTo(const EndpointPlacement::Choice &choice);
    /** Whether the process will run for long enough after this. A response that has begun is continued in any case. */
    bool hasTimeBeforeExit() const;
    /** Fails the request if it can't be sent any more, and returns whether it was failed. */
    bool failUnlessSendable(const EndpointPlacement::Choice &choice);
    /** Claims a trial or reserves the request at the endpoint, if needed; then the request is sent later. Returns whether it is. */
    bool deferUntilAllowed(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint);
    /** Fails the request if it may crash engines, and returns whether it was failed. */
    bool failIfBlocked();
    void failBlocked(const CrashAttribution::Verdict &verdict);
    void claimTrial(const EndpointPlacement::Choice &choice, const CrashAttribution::Verdict &verdict);
    /** Reserves the request at the holder of the endpoint's own limit, and sends it if granted. */
    void reserveAtEndpoint(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, const EndpointLimit &limit);
    void handleEndpointReservation(const EndpointPlacement::Choice &choice, const std::string &start, QuotaClient::Outcome outcome,
                                   Duration retryAfter);
    void recordStatedLimit();
    /** Records whether the endpoint leaves or wants no request for some time. */
    void recordSignals();
    /** Records which endpoint answers at the address. */
    void recordOccupant();
    /** Whether the endpoint has said neither since it was chosen. */
    bool isStillAvailable(const ListedEndpoint &endpoint) const;
    void logBlocked(const CrashAttribution::Verdict &verdict);
    /** @param evidence what showed that the attempt was broken off, for the log */
    void recordConnectionLost(const std::string &endpoint, const char *evidence);
    /** @param transfers receives the KV cache transfers that the headers ask for */
    platform::ForwardHeaders makeForwardHeaders(const EndpointPlacement::Choice &choice, TransferPlan &transfers) const;

    /** Records the software version of the stream that may begin, if necessary. */
    void holdStream();
    void handleStreamRecorded(bool isAllowed);
    /** Whether the endpoint is known to have the software version that the current attempt was sent to. */
    bool isVersionCertain() const;
    void giveUpAttempt();
    void handleData(std::string_view data);
    void handleEnd(HttpCallResult result, HttpBreakCause cause);
    void handleMemoryNeeded();
    void recordHeld();
    void logConnectionLost(const std::string &endpoint, const char *evidence);
    void handleNotRun();
    void handleBroken();
    void handleComplete();
    void releaseEndpoint();
    void recordPromptDone();
    void retryOrFail(ErrorKind kind);
    void cancelSearch();
    /** Records the attempt, if its endpoint has not answered, as one that may have ended it. */
    void recordUnanswered();
    void handleTimeout();
    void finish(const char *outcome);
    /** @param expectedWait when the request is expected to be admitted if it returns; zero if unknown */
    void fail(ErrorKind kind, Duration expectedWait = Duration::zero());
    void logOutcome(const char *outcome);

public:
    ProxyCall(ProxyServices &services, HttpListener::ExchangeId exchange, HttpIncomingRequest incoming, EndHandler onEnd);
    ~ProxyCall();

    ProxyCall(const ProxyCall &) = delete;
    ProxyCall &operator=(const ProxyCall &) = delete;

    void start();

    /** Ends the request and closes the connection to the endpoint, which signals the cancellation. */
    void handleCallerDisconnect();

    /** Answers the request before the process exits, or breaks off a response that has begun. */
    void endBeforeExit();

    /** Gives the current attempt up if it has not begun and its engine has weights on which no request may begin any more. */
    void abandonOldWeights(TimePoint now);

    /**
     * Ends the current attempt as broken if its endpoint has started again since under the same id, or if its endpoint daemon has
     * reported the start, as the earlier incarnation can't answer any more.
     */
    void handleEndpointStarted(const EndpointStart &start);

    /** The start of the endpoint that the current attempt was sent to; nullopt if none runs. */
    std::optional<EndpointStart> currentEndpoint() const;

    /** Ends the current attempt as broken if it runs at @p earlier, which has ended. */
    void handleEndpointEnded(const EndpointStart &earlier);

    /** Its endpoint no longer answers its endpoint daemon. The attempt goes on, and counts as evidence if the endpoint has ended. */
    void handleEndpointSilent(const std::string &address);

    /** Resumes reading from the endpoint after the output buffer of the caller has drained. */
    void handleCallerDrained();
};

}
