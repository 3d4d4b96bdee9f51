#include "main/proxy/proxycall.h"

#include "core/hash.h"
#include "core/metrics.h"
#include "main/proxy/prompttransfers.h"
#include "servers/admission.h"
#include "servers/requestrouting.h"
#include "servers/retryadvice.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

// How long an endpoint is avoided after it refused a request.
constexpr Duration avoidAfterRefusal = std::chrono::milliseconds(150);
// Another instance has taken over the address; the stale entry is removed from the list within a few heartbeats.
constexpr Duration avoidAfterOtherInstance = std::chrono::seconds(10);
constexpr Duration avoidAfterNoConnection = std::chrono::milliseconds(600);

// A request that may not run twice only reuses a connection that was active
// within this time, as an older one may have been closed without notice.
constexpr Duration maxIdleAtMostOnce = std::chrono::milliseconds(1000);
constexpr Duration maxIdleIdempotent = std::chrono::seconds(10);

constexpr Duration endpointConnectTimeout = std::chrono::milliseconds(400);

// An attempt that is given up without an answer before this time is no sign of trouble at its endpoint.
constexpr Duration minUnansweredTime = std::chrono::seconds(1);

// Responses up to this size are held until they are complete also when much is held, so that another attempt can replace them.
constexpr std::size_t maxHeldUnderPressure = 32 * 1024;

constexpr Duration misdirectedAnswerTime = std::chrono::milliseconds(300);

// How long a reservation of an endpoint's limit may be used.
constexpr Duration reservationLifetime = std::chrono::milliseconds(150);
// How long an endpoint is avoided if the holder of its limit does not answer.
constexpr Duration avoidWithoutHolder = std::chrono::milliseconds(250);

constexpr double millisecondsPerSecond = 1000;

// Assumed for requests that are refused before their route is known and state no deadline.
constexpr Duration defaultRemainingTime = std::chrono::seconds(2);

// A request waits for quota for at most this fraction of its latency objective:
// a later refusal would only cost the caller time.
constexpr int quotaWaitDivisor = 8;

constexpr std::uint64_t trafficSplitSeed = 0x5711;
constexpr std::uint64_t prefixSeed = 0x9e37;
constexpr int firstRedirectStatus = 300;
constexpr int firstServerErrorStatus = 500;

constexpr std::uint64_t partSuspectSeed = 0x9a47;
constexpr std::uint64_t requestSuspectSeed = 0x3e17;
// The suspects of one request that are tracked; callers choose the number of parts.
constexpr std::size_t maxSuspectsPerRequest = 256;

SuspectId partSuspect(const platform::PromptPart &part)
{
    return hashBytes(part.id, partSuspectSeed);
}

/** The whole request, and each part of its prompt but the last, which belongs to the request alone. */
std::vector<CrashSuspect> makeSuspects(const platform::CallerRequest &request, const HttpIncomingRequest &incoming,
                                       const std::string &account)
{
    const std::uint64_t caller = hashBytes(account, hashBytes(incoming.head.method, requestSuspectSeed));
    std::vector<CrashSuspect> suspects;
    suspects.push_back(CrashSuspect{hashBytes(incoming.body, hashBytes(incoming.head.target, caller)), true, 0});
    for (std::size_t i = 0; i + 1 < request.parts.size() && suspects.size() < maxSuspectsPerRequest; ++i) {
        suspects.push_back(CrashSuspect{partSuspect(request.parts[i]), false, 0});
    }
    return suspects;
}

// A log line names at most this many parts of a prompt.
constexpr std::size_t maxLoggedParts = 12;

/** The ids of all parts but the last, which other requests may share, for the log. */
std::string sharedPartsText(const platform::CallerRequest &request)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < request.parts.size() && i < maxLoggedParts; ++i) {
        text += (i == 0 ? "" : ",") + request.parts[i].id;
    }
    return text;
}

/** Computes the prefix hashes and token counts of the prompt. All parts but the last are shared with other requests. */
PlacedPrompt makePlacedPrompt(const platform::CallerRequest &request)
{
    PlacedPrompt prompt;
    for (std::size_t i = 0; i < request.parts.size(); ++i) {
        const platform::PromptPart &part = request.parts[i];
        if (i + 1 < request.parts.size()) {
            prompt.sharedHash = hashCombine(prompt.sharedHash, hashBytes(part.id, prefixSeed));
            prompt.sharedTokens += part.tokens;
        } else {
            prompt.ownTokens += part.tokens;
        }
        if (i == 0 && request.parts.size() > 1) {
            prompt.templateHash = prompt.sharedHash;
            prompt.templateTokens = part.tokens;
        }
    }
    return prompt;
}

}

ProxyCall::ProxyCall(ProxyServices &services, HttpListener::ExchangeId exchange, HttpIncomingRequest incoming, EndHandler onEnd)
    : m_services(services)
    , m_exchange(exchange)
    , m_incoming(std::move(incoming))
    , m_request(platform::decodeCallerRequest(m_incoming.head))
    , m_onEnd(std::move(onEnd))
    , m_relay(services, exchange, m_incoming.arrived)
    , m_streamHold(services.streamVersions)
{
}

ProxyCall::~ProxyCall()
{
    m_services.loop.timers().unsubscribe(m_timeoutTimer);
    m_services.crashGuard.cancelClaim(m_trialClaim);
    m_services.quotaClient.cancel(m_endpointReservation);
    m_services.streamVersions.lookups().cancel(m_versionLookup);
}

EndpointPlacement &ProxyCall::placement()
{
    return m_isEngineService ? m_services.enginePlacement : m_services.plainPlacement;
}

void ProxyCall::start()
{
    const std::optional<ErrorKind> refusal = admit();
    if (refusal.has_value()) {
        fail(*refusal);
        return;
    }
    m_suspects = makeSuspects(m_request, m_incoming, callerName());
    if (failIfBlocked()) {
        return;
    }
    m_services.retryBudget.addRequest();
    m_attemptTracker.emplace(m_route->retryPolicy, m_route->maxAttempts);
    const bool hasAccountPriority = m_account != nullptr && m_account->priority.has_value();
    m_priority = std::clamp(hasAccountPriority ? *m_account->priority : m_route->priority, 0, 9);
    m_prompt = makePlacedPrompt(m_request);
    m_isResumable = m_route->isStream && m_route->isResumable;
    const bool isIsolated = m_account != nullptr && m_account->isIsolated;
    EndpointSearch::Criteria criteria{m_service, m_isEngineService, m_request.model, m_prompt,
                                      isIsolated ? m_account->name : std::string()};
    const auto service = m_config->services.find(m_service);
    if (m_services.usesEngineModel && service != m_config->services.end()) {
        criteria.priority = m_priority;
        criteria.gapTarget = m_route->gapTarget;
        criteria.targetLatency = m_route->targetLatency;
        criteria.tokensPerEvent = service->second.tokensPerEvent;
    }
    m_endpointSearch.emplace(m_services, criteria);
    m_timeoutAt = m_incoming.arrived + m_route->timeout;
    const Duration remaining = std::max(m_timeoutAt - Loop::now(), Duration::zero());
    m_timeoutTimer = m_services.loop.timers().subscribeOnce(remaining, [this](TimePoint) {
        handleTimeout();
    });
    if (isTakeUp()) {
        findVersion();
    } else {
        acquireQuota();
    }
}

bool ProxyCall::isTakeUp() const
{
    return m_isResumable && !m_request.lastEventId.empty();
}

void ProxyCall::findVersion()
{
    const StreamVersions::Stream stream{StreamVersions::streamName(callerName(), m_request.resumes), m_service};
    m_versionLookup = m_services.streamVersions.lookups().start(stream, [this](const std::optional<std::string> &version) {
        m_versionLookup = 0;
        if (!version.has_value()) {
            fail(ErrorKind::CannotResume);
            return;
        }
        m_endpointSearch->requireVersion(*version);
        acquireQuota();
    });
}

std::string ProxyCall::callerName() const
{
    // Public routes don't need the key, but a caller that sends one stays the same when a route becomes public.
    const TrafficAccount *keyHolder
        = m_account == nullptr && m_request.key.has_value() ? m_config->findAccountByKey(*m_request.key) : m_account;
    return keyHolder == nullptr ? std::string() : keyHolder->name;
}

void ProxyCall::acquireQuota()
{
    if (m_account == nullptr) {
        send();
        return;
    }
    const double cost
        = quotaCost(*m_account, m_request.hasTokenCounts, static_cast<double>(m_request.promptTokens + m_request.maxOutputTokens));
    const TimePoint waitDeadline = m_incoming.arrived + m_route->targetLatency / quotaWaitDivisor;
    m_quotaAcquisition = std::make_unique<QuotaAcquisition>(m_services, *m_account, m_request.id, cost, waitDeadline,
                                                            [this](std::optional<ErrorKind> refusal, Duration wait) {
                                                                if (m_isEnded) {
                                                                    return;
                                                                }
                                                                if (refusal.has_value()) {
                                                                    fail(*refusal, wait);
                                                                } else {
                                                                    send();
                                                                }
                                                            });
    m_quotaAcquisition->acquire();
}

std::optional<ErrorKind> ProxyCall::admit()
{
    m_config = m_services.operatorFeed.config();
    if (m_config == nullptr || !m_services.endpointFeed.hasSnapshot()) {
        return ErrorKind::NotFresh;
    }
    if (m_request.id.empty()) {
        return ErrorKind::BadRequest;
    }
    const bool isFresh = m_services.keyFreshness.isFresh(m_services.operatorFeed.confirmedAt(), Loop::now());
    const RoutingQuery routingQuery{m_request.host, m_request.path, m_request.key, hashBytes(m_request.id, trafficSplitSeed)};
    const RoutedRequest routed = routeRequest(*m_config, routingQuery, isFresh);
    m_route = routed.route;
    m_account = routed.account;
    m_service = routed.service;
    m_isEngineService = routed.isEngineService;
    return routed.refusal;
}

platform::ForwardHeaders ProxyCall::makeForwardHeaders(const EndpointPlacement::Choice &choice, TransferPlan &transfers) const
{
    platform::ForwardHeaders forwardHeaders;
    forwardHeaders.hasDeadline = true;
    forwardHeaders.deadline = remainingTime();
    forwardHeaders.instance = choice.id;
    if (m_account != nullptr) {
        forwardHeaders.account = m_account->name;
    }
    forwardHeaders.lastEventId = m_relay.lastEventId().value_or(std::string());
    if (!m_isEngineService) {
        return forwardHeaders;
    }
    forwardHeaders.priority = m_priority;
    forwardHeaders.cacheSalt = m_endpointSearch->cacheSalt(choice.weightsVersion);
    forwardHeaders.weightsVersion = choice.weightsVersion;
    transfers = PromptTransfers(m_services, m_config, m_service, m_request, m_prompt).apply(choice, forwardHeaders);
    return forwardHeaders;
}

Duration ProxyCall::remainingTime() const
{
    const TimePoint now = Loop::now();
    Duration remaining = m_route == nullptr ? defaultRemainingTime : m_timeoutAt - now;
    if (m_request.deadline.has_value()) {
        const Duration untilDeadline = *m_request.deadline - (now - m_incoming.arrived);
        remaining = m_route == nullptr ? untilDeadline : std::min(remaining, untilDeadline);
    }
    return remaining;
}

bool ProxyCall::isKeyStillValid() const
{
    if (m_account == nullptr) {
        return true;
    }
    const std::shared_ptr<const TrafficConfig> &newest = m_services.operatorFeed.config();
    const TrafficAccount *account = newest->findAccountByKey(*m_request.key);
    return account != nullptr && account->name == m_account->name
        && m_services.keyFreshness.isFresh(m_services.operatorFeed.confirmedAt(), Loop::now());
}

void ProxyCall::send()
{
    if (decideVersions()) {
        search();
    } else {
        fail(ErrorKind::CannotResume);
    }
}

bool ProxyCall::decideVersions()
{
    if (m_services.rollouts == nullptr) {
        return true;
    }
    returnVersionGrant();
    m_versionDecision = m_services.rollouts->decide(m_service, m_route->name, m_endpointSearch->requiredVersion());
    if (m_versionDecision.has_value()) {
        m_endpointSearch->setVersionAccess(m_versionDecision->access);
    }
    return m_versionDecision.has_value();
}

bool ProxyCall::searchOtherVersions()
{
    const bool isGranted = m_versionDecision.has_value() && m_versionDecision->access.required.has_value();
    if (!isGranted || m_endpointSearch->requiredVersion().has_value()) {
        return false;
    }
    VersionAccess::Access &access = m_versionDecision->access;
    access.excluded.insert(*access.required);
    returnVersionGrant();
    m_endpointSearch->setVersionAccess(access);
    search();
    return true;
}

bool ProxyCall::isVersionAllowed(const ListedEndpoint &endpoint) const
{
    if (m_services.rollouts == nullptr) {
        return true;
    }
    return m_versionDecision.has_value() && m_endpointSearch->isOfVersion(endpoint)
        && m_services.rollouts->maySend(m_service, endpoint.softwareVersion, *m_versionDecision);
}

void ProxyCall::returnVersionGrant()
{
    if (m_versionDecision.has_value()) {
        m_services.rollouts->returnGrant(m_service, *m_versionDecision);
        m_versionDecision->access.required.reset();
    }
}

void ProxyCall::redecideVersions()
{
    if (std::exchange(m_isVersionRedecided, true)) {
        m_services.log.write("request", "no version decided", {{"request", m_request.id}, {"service", m_service}});
        fail(ErrorKind::NoEndpoint);
        return;
    }
    send();
}

void ProxyCall::recordAttemptEnd(HttpCallResult result)
{
    if (m_rolloutAttempt == 0) {
        return;
    }
    const platform::EndpointResponse &response = m_relay.response();
    const RolloutClient::AttemptId attempt = std::exchange(m_rolloutAttempt, 0);
    if (result == HttpCallResult::NotSent || (result == HttpCallResult::Complete && response.isNotRun)) {
        m_services.rollouts->recordWithdrawn(attempt);
        return;
    }
    const bool isSound = result == HttpCallResult::Complete && response.isSigned && m_relay.incompleteness() == nullptr
        && response.status < firstServerErrorStatus;
    m_services.rollouts->recordEnded(attempt, !isSound);
}

void ProxyCall::search()
{
    m_endpointSearch->start(m_triedEndpoints, [this](const std::optional<EndpointPlacement::Choice> &choice) {
        if (choice.has_value()) {
            sendTo(*choice);
        } else if (searchOtherVersions()) {
            return;
        } else if (m_limitWait.has_value()) {
            fail(ErrorKind::Overloaded, *m_limitWait);
        } else if (m_endpointSearch->shortestWait().has_value()) {
            fail(ErrorKind::Overloaded, *m_endpointSearch->shortestWait());
        } else if (isTakeUp()) {
            fail(ErrorKind::CannotResume);
        } else {
            fail(ErrorKind::NoEndpoint);
        }
    });
}

bool ProxyCall::hasTimeBeforeExit() const
{
    return m_relay.isForwarding() || m_services.shutdown.mayStartAttempt(Loop::now());
}

bool ProxyCall::failUnlessSendable(const EndpointPlacement::Choice &choice)
{
    const Duration waited = Loop::now() - m_incoming.arrived;
    if (!hasTimeBeforeExit()) {
        fail(ErrorKind::Stopping);
        return true;
    }
    if (!isKeyStillValid()) {
        fail(ErrorKind::NotFresh);
        return true;
    }
    if (m_services.endpointFeed.directory().find(choice.id) == nullptr) {
        fail(ErrorKind::NoEndpoint);
        return true;
    }
    if (m_request.deadline.has_value() && waited >= *m_request.deadline) {
        fail(ErrorKind::DeadlinePassed);
        return true;
    }
    const Duration predicted = fromSeconds(choice.costMs / millisecondsPerSecond);
    const Admission::Basis basis = choice.knownPrefixes < 0 ? Admission::Basis::Reported : Admission::Basis::Probed;
    // The caller already has the first events of the stream, so a late rest is worth more to it than a refusal.
    if (m_isEngineService && m_attemptTracker->attemptCount() == 0 && !isTakeUp()
        && !Admission::admits(predicted, basis, waited, m_route->targetLatency)) {
        fail(ErrorKind::Overloaded, std::max(predicted - m_route->targetLatency / 2, Duration::zero()));
        return true;
    }
    return !m_isTrial && failIfBlocked();
}

bool ProxyCall::deferUntilAllowed(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint)
{
    const CrashAttribution::Verdict verdict = m_services.crashGuard.check(m_suspects);
    if (verdict.decision == CrashAttribution::Decision::Trial && !m_isTrial) {
        claimTrial(choice, verdict);
        return true;
    }
    const std::string start = startName(EndpointStart{endpoint.id, endpoint.address, endpoint.startedMs});
    const EndpointLimit *limit = m_services.endpointLimits.find(start);
    // A process that was paused sends no request on a reservation that others have used since.
    const bool isReserved = m_reservedStart == start && Loop::now() - m_reservedAt < reservationLifetime;
    if (limit != nullptr && !isReserved) {
        reserveAtEndpoint(choice, endpoint, *limit);
        return true;
    }
    m_reservedStart.clear();
    return false;
}

void ProxyCall::sendTo(const EndpointPlacement::Choice &choice)
{
    if (failUnlessSendable(choice)) {
        return;
    }
    const ListedEndpoint *endpoint = m_services.endpointFeed.directory().find(choice.id);
    if (!isStillAvailable(*endpoint)) {
        send();
        return;
    }
    if (!isVersionAllowed(*endpoint)) {
        redecideVersions();
        return;
    }
    if (deferUntilAllowed(choice, *endpoint)) {
        return;
    }
    m_endpoint = choice.id;
    m_endpointStart = EndpointStart{endpoint->id, endpoint->address, endpoint->startedMs};
    m_triedEndpoints.push_back(choice.id);
    m_isPromptDone = false;
    m_sentWeights = choice.weightsVersion;
    m_sentAt = Loop::now();
    for (CrashSuspect &suspect : m_suspects) {
        suspect.sentAt = m_sentAt;
    }
    m_sentVersion = endpoint->softwareVersion;
    if (m_services.rollouts != nullptr) {
        m_rolloutAttempt = m_services.rollouts->recordSent(m_service, m_route->name, m_sentVersion);
        m_versionDecision.reset();
        m_isVersionRedecided = false;
    }
    m_isStartDoubtful = false;
    m_attemptTracker->recordSent();
    m_relay.beginAttempt();
    holdStream();
    HttpCall call;
    call.target = parseSocketAddress(endpoint->address);
    call.poolKey = endpoint->id + "@" + endpoint->address;
    TransferPlan transfers;
    const platform::ForwardHeaders forwardHeaders = makeForwardHeaders(choice, transfers);
    m_cacheSalt = forwardHeaders.cacheSalt;
    m_endpointSearch->recordSent(choice, *endpoint, transfers);
    call.head = platform::forwardHead(m_incoming.head, forwardHeaders);
    call.body = m_incoming.body;
    call.echoHeader = platform::echoedHeader();
    call.connectTimeout = endpointConnectTimeout;
    call.maxIdle = m_route->retryPolicy == RetryPolicy::AtMostOnce ? maxIdleAtMostOnce : maxIdleIdempotent;
    HttpPool::Handlers handlers;
    handlers.onHead = [this](const HttpHead &head, HttpBodyFraming framing, std::int64_t length) {
        m_relay.handleHead(*m_route, head, framing, length);
        recordOccupant();
        recordStatedLimit();
        recordSignals();
    };
    handlers.onData = [this](std::string_view data) {
        handleData(data);
    };
    handlers.onEnd = [this](HttpCallResult result, HttpBreakCause cause) {
        handleEnd(result, cause);
    };
    handlers.onMemoryNeeded = [this]() {
        handleMemoryNeeded();
    };
    m_endpointCall = m_services.pool.send(std::move(call), std::move(handlers));
    const std::optional<WeightsCutoff> cutoff = m_endpointSearch->weightsCutoff(choice.weightsVersion);
    if (cutoff.has_value()) {
        m_services.metrics.increment("requests sent to older weights");
    }
    m_services.log.write("request", "sent",
                         {{"request", m_request.id},
                          {"route", m_route->name},
                          {"config", std::to_string(m_config->version)},
                          {"endpoint", m_endpoint},
                          {"weights", std::to_string(choice.weightsVersion)},
                          {"wanted", std::to_string(m_endpointSearch->weightsHistory().wantedVersion())},
                          {"outdatedBy", cutoff.has_value() ? std::to_string(cutoff->version()) : ""},
                          {"cutoffInMs", cutoff.has_value() ? millisecondsText(cutoff->deadline() - m_sentAt) : ""},
                          {"software", endpoint->softwareVersion},
                          {"resumes", m_request.resumes},
                          {"afterEvent", m_relay.lastEventId().value_or(m_request.lastEventId)},
                          {"home", choice.isHome ? "yes" : "no"},
                          {"known", std::to_string(choice.knownPrefixes)},
                          {"fetch", forwardHeaders.fetchFrom},
                          {"save", forwardHeaders.saveTo},
                          {"predictedMs", std::to_string(static_cast<int>(choice.costMs))},
                          {"pauseCostMs", std::to_string(static_cast<int>(choice.pauseCostMs))},
                          {"try", std::to_string(m_attemptTracker->attemptCount())}});
}

void ProxyCall::holdStream()
{
    if (!m_isResumable || m_relay.isForwarding()) {
        return;
    }
    const StreamVersions::Stream stream{StreamVersions::streamName(callerName(), m_request.id), m_service};
    m_streamHold.begin(stream, m_sentVersion, [this](bool isAllowed) {
        handleStreamRecorded(isAllowed);
    });
}

void ProxyCall::handleStreamRecorded(bool isAllowed)
{
    if (m_isEnded) {
        return;
    }
    const std::string data = m_streamHold.takeData();
    const std::optional<StreamHold::End> end = m_streamHold.takeEnd();
    if (!isAllowed) {
        if (!m_endpoint.empty()) {
            giveUpAttempt();
        }
        return;
    }
    m_services.pool.resume(m_endpointCall);
    if (!data.empty()) {
        handleData(data);
    }
    if (end.has_value() && !m_isEnded && !m_endpoint.empty()) {
        handleEnd(end->first, end->second);
    }
}

bool ProxyCall::isVersionCertain() const
{
    const ListedEndpoint *listed = m_services.endpointFeed.directory().find(m_endpointStart.id);
    const bool isOther = listed != nullptr && (listed->startedMs != m_endpointStart.startedMs || listed->softwareVersion != m_sentVersion);
    return !isOther && !m_isStartDoubtful;
}

void ProxyCall::giveUpAttempt()
{
    m_services.pool.cancel(m_endpointCall);
    releaseEndpoint();
    handleBroken();
}

bool ProxyCall::failIfBlocked()
{
    const CrashAttribution::Verdict verdict = m_services.crashGuard.check(m_suspects);
    const bool isBlocked = verdict.decision == CrashAttribution::Decision::Block;
    if (isBlocked) {
        failBlocked(verdict);
    }
    return isBlocked;
}

void ProxyCall::failBlocked(const CrashAttribution::Verdict &verdict)
{
    logBlocked(verdict);
    fail(ErrorKind::CrashSuspected, std::max(verdict.untilTrial, Duration::zero()));
}

void ProxyCall::claimTrial(const EndpointPlacement::Choice &choice, const CrashAttribution::Verdict &verdict)
{
    m_trialClaim = m_services.crashGuard.claimTrial(verdict.blocked, [this, choice](bool isClaimed) {
        m_trialClaim = 0;
        if (m_isEnded) {
            return;
        }
        if (isClaimed) {
            m_isTrial = true;
            sendTo(choice);
        } else {
            failBlocked(m_services.crashGuard.check(m_suspects));
        }
    });
}

void ProxyCall::reserveAtEndpoint(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, const EndpointLimit &limit)
{
    const std::string start = startName(EndpointStart{endpoint.id, endpoint.address, endpoint.startedMs});
    // The daemon beside an engine can be reached as long as the engine can, and does not change with the list.
    const std::set<std::string> &daemons = m_services.engineLinks.daemonAddresses();
    const std::string ownDaemon = m_services.engineLinks.daemonAddress(endpoint);
    const std::string holder = m_isEngineService && daemons.count(ownDaemon) > 0 ? ownDaemon : QuotaClient::selectHolder(start, daemons);
    const std::string account = m_account == nullptr ? std::string() : m_account->name;
    const bool isHolderNew = m_services.endpointLimits.recordHolder(start, holder);
    m_endpointReservation = m_services.quotaClient.reserveRequest(start, limit, account, holder, isHolderNew,
                                                                  [this, choice, start](QuotaClient::Outcome outcome, Duration retryAfter) {
                                                                      m_endpointReservation = 0;
                                                                      handleEndpointReservation(choice, start, outcome, retryAfter);
                                                                  });
}

void ProxyCall::handleEndpointReservation(const EndpointPlacement::Choice &choice, const std::string &start, QuotaClient::Outcome outcome,
                                          Duration retryAfter)
{
    const TimePoint now = Loop::now();
    const bool isGranted = outcome == QuotaClient::Outcome::Granted
        || (outcome == QuotaClient::Outcome::NoResponse
            && m_services.endpointLimits.tryConsumePart(start, m_services.quotaGate.daemonCount(), now));
    if (isGranted) {
        m_reservedStart = start;
        m_reservedAt = now;
        sendTo(choice);
        return;
    }
    const Duration wait = outcome == QuotaClient::Outcome::Refused ? retryAfter : avoidWithoutHolder;
    m_limitWait = m_limitWait.has_value() ? std::min(*m_limitWait, wait) : wait;
    m_services.log.write("request", "endpoint at its limit",
                         {{"request", m_request.id}, {"endpoint", choice.id}, {"waitMs", millisecondsText(wait)}});
    placement().avoid(choice.id, now, wait);
    send();
}

void ProxyCall::recordStatedLimit()
{
    const platform::EndpointResponse &response = m_relay.response();
    const bool isOtherEndpoint = response.isMisdirected || (!response.instance.empty() && response.instance != m_endpointStart.id);
    const bool isOfEndpoint = response.isSigned || response.isNotRun;
    if (!isOfEndpoint || isOtherEndpoint || (response.isLimitMalformed && !response.requestLimit.has_value())) {
        return;
    }
    const std::string start = startName(m_endpointStart);
    const bool wasLimited = m_services.endpointLimits.find(start) != nullptr;
    m_services.endpointLimits.recordStatement(start, response.requestLimit, Loop::now());
    if (wasLimited != response.requestLimit.has_value()) {
        m_services.log.write("limits", wasLimited ? "endpoint lifted its limit" : "endpoint stated a limit",
                             {{"endpoint", start}, {"perSecond", std::to_string(response.requestLimit.value_or(0))}});
    }
}

void ProxyCall::recordSignals()
{
    const platform::EndpointResponse &response = m_relay.response();
    // The response is of another endpoint at the address.
    if (response.instance.empty() ? response.isMisdirected : response.instance != m_endpointStart.id) {
        return;
    }
    const std::string start = startName(m_endpointStart);
    if (response.isLeaving && m_services.endpointSignals.recordLeaving(start, Loop::now())) {
        m_services.log.write("endpoints", "endpoint leaves", {{"endpoint", start}, {"status", std::to_string(response.status)}});
        m_services.metrics.increment("endpoints leaving");
    }
    if (response.wait.has_value()) {
        m_services.endpointSignals.recordWait(start, *response.wait, Loop::now());
        m_services.log.write("endpoints", "endpoint asks for a wait", {{"endpoint", start}, {"waitMs", millisecondsText(*response.wait)}});
        m_services.metrics.increment("endpoint waits");
    }
    if (response.isWaitMalformed) {
        m_services.log.write("endpoints", "malformed wait", {{"endpoint", start}});
    }
}

void ProxyCall::recordOccupant()
{
    const platform::EndpointResponse &response = m_relay.response();
    if (!response.instance.empty()) {
        m_services.endpointFeed.recordOccupant(m_endpointStart.address, response.instance);
    } else if (response.isSigned) {
        m_services.endpointFeed.recordOccupant(m_endpointStart.address, m_endpointStart.id);
    }
}

bool ProxyCall::isStillAvailable(const ListedEndpoint &endpoint) const
{
    const std::string start = startName(EndpointStart{endpoint.id, endpoint.address, endpoint.startedMs});
    return m_services.endpointSignals.isAvailable(start, Loop::now());
}

void ProxyCall::logBlocked(const CrashAttribution::Verdict &verdict)
{
    std::string blocked;
    for (const platform::PromptPart &part : m_request.parts) {
        if (std::count(verdict.blocked.begin(), verdict.blocked.end(), partSuspect(part)) > 0) {
            blocked += (blocked.empty() ? "" : ",") + part.id;
        }
    }
    std::string reporters;
    for (const std::string &reporter : verdict.reporters) {
        reporters += (reporters.empty() ? "" : ",") + reporter;
    }
    m_services.log.write("request", "blocked",
                         {{"request", m_request.id},
                          {"parts", blocked.empty() ? "the whole request" : blocked},
                          {"crashes", std::to_string(verdict.crashes)},
                          {"lastCrashAgeMs", millisecondsText(verdict.lastCrashAge)},
                          {"reporters", reporters},
                          {"untilTrialMs", millisecondsText(verdict.untilTrial)}});
}

void ProxyCall::recordPromptDone()
{
    if (!m_isPromptDone) {
        m_isPromptDone = true;
        const bool isPrefilled = m_isEngineService && m_relay.response().isSigned && m_relay.response().status < firstServerErrorStatus;
        m_endpointSearch->recordPromptDone(m_endpoint, isPrefilled);
        if (isPrefilled) {
            m_services.transferPlanner.recordPrefilled(m_endpoint, m_cacheSalt, m_prompt.sharedHash, Loop::now());
            m_services.transferPlanner.recordPrefilled(m_endpoint, m_cacheSalt, m_prompt.templateHash, Loop::now());
        }
    }
}

void ProxyCall::releaseEndpoint()
{
    if (m_endpoint.empty()) {
        return;
    }
    recordPromptDone();
    if (m_rolloutAttempt != 0) {
        m_services.rollouts->recordWithdrawn(std::exchange(m_rolloutAttempt, 0));
    }
    m_streamHold.cancel();
    placement().recordEnd(m_endpoint);
    m_endpoint.clear();
    m_endpointCall = 0;
}

void ProxyCall::handleData(std::string_view data)
{
    // Measured before the data is held, as the time to record a stream is not part of the response time of its endpoint.
    if (m_rolloutAttempt != 0 && m_route->isStream) {
        m_services.rollouts->recordFirstEvent(m_rolloutAttempt);
    }
    if (m_streamHold.isHolding()) {
        m_streamHold.holdData(data);
        recordHeld();
        m_services.pool.pause(m_endpointCall);
        return;
    }
    if (m_isResumable && !m_isPromptDone && !isVersionCertain()) {
        m_services.log.write("request", "given up on an uncertain version",
                             {{"request", m_request.id}, {"endpoint", m_endpoint}, {"software", m_sentVersion}});
        giveUpAttempt();
        return;
    }
    if (m_relay.handleData(*m_route, data)) {
        recordPromptDone();
    }
    recordHeld();
    if (m_isResumable && m_relay.isForwarding()) {
        m_endpointSearch->requireVersion(m_sentVersion);
    }
    if (m_relay.isOversized()) {
        m_services.log.write("request", "response exceeds the limits", {{"request", m_request.id}, {"endpoint", m_endpoint}});
        m_services.pool.breakOff(m_endpointCall);
        return;
    }
    if (m_services.pool.isUnderPressure() && m_relay.heldBytes() > maxHeldUnderPressure) {
        handleMemoryNeeded();
    }
    if (m_relay.isForwarding() && m_relay.isCallerBacklogged()) {
        m_services.pool.pause(m_endpointCall);
    }
}

void ProxyCall::recordHeld()
{
    m_services.pool.recordHeld(m_endpointCall, m_streamHold.heldBytes() + m_relay.heldBytes());
}

void ProxyCall::handleMemoryNeeded()
{
    if (m_streamHold.isHolding()) {
        return;
    }
    const std::size_t heldBytes = m_relay.heldBytes();
    m_relay.forwardEarly(*m_route);
    recordHeld();
    if (m_relay.heldBytes() < heldBytes) {
        // Otherwise as much would gather as output if the caller reads slowly.
        if (m_services.listener.bufferedBytes(m_exchange) > 0) {
            m_services.pool.pause(m_endpointCall);
        }
        m_services.log.write("request", "response forwarded early",
                             {{"request", m_request.id},
                              {"endpoint", m_endpoint},
                              {"forwardedBytes", std::to_string(heldBytes - m_relay.heldBytes())},
                              {"allHeldBytes", std::to_string(m_services.pool.heldBytes())}});
    }
}

void ProxyCall::handleCallerDrained()
{
    m_services.pool.resume(m_endpointCall);
}

void ProxyCall::handleEnd(HttpCallResult result, HttpBreakCause cause)
{
    if (m_streamHold.isHolding() && m_relay.response().isSigned) {
        m_streamHold.holdEnd(result, cause);
        return;
    }
    m_streamHold.cancel();
    const std::string endpoint = m_endpoint;
    recordAttemptEnd(result);
    releaseEndpoint();
    if (cause == HttpBreakCause::MemoryBound) {
        // The daemon itself broke the response off, so this is no evidence of a crash of the endpoint.
        placement().recordFailure(endpoint, Loop::now());
        m_services.metrics.increment("responses broken off for memory");
        m_services.log.write("request", "response broken off for memory",
                             {{"request", m_request.id},
                              {"endpoint", endpoint},
                              {"status", std::to_string(m_relay.response().status)},
                              {"heldBytes", std::to_string(m_relay.heldBytes())},
                              {"otherHeldBytes", std::to_string(m_services.pool.heldBytes())}});
        handleBroken();
        return;
    }
    if (result == HttpCallResult::NotSent) {
        placement().recordFailure(endpoint, Loop::now());
        placement().avoid(endpoint, Loop::now(), avoidAfterNoConnection);
        m_attemptTracker->recordNotRun();
        retryOrFail(ErrorKind::NoEndpoint);
        return;
    }
    if (result == HttpCallResult::Broken) {
        recordConnectionLost(endpoint, breakCauseName(cause));
        handleBroken();
        return;
    }
    if (m_relay.response().isNotRun) {
        const bool isOtherInstance
            = m_relay.response().isMisdirected && !m_relay.response().instance.empty() && m_relay.response().instance != endpoint;
        placement().avoid(endpoint, Loop::now(), isOtherInstance ? avoidAfterOtherInstance : avoidAfterRefusal);
        handleNotRun();
        return;
    }
    if (!m_relay.response().isSigned) {
        // A response without the seal of an endpoint was not produced by one, so the attempt counts as broken.
        placement().recordFailure(endpoint, Loop::now());
        handleBroken();
        return;
    }
    const char *incompleteness = m_relay.incompleteness();
    if (incompleteness != nullptr) {
        recordConnectionLost(endpoint, incompleteness);
        handleBroken();
        return;
    }
    if (m_relay.response().status >= firstServerErrorStatus) {
        placement().recordFailure(endpoint, Loop::now());
    } else {
        placement().recordSuccess(endpoint);
    }
    handleComplete();
}

void ProxyCall::recordConnectionLost(const std::string &endpoint, const char *evidence)
{
    placement().recordFailure(endpoint, Loop::now());
    logConnectionLost(endpoint, evidence);
    m_services.crashGuard.recordLost(m_endpointStart, m_suspects);
}

void ProxyCall::logConnectionLost(const std::string &endpoint, const char *evidence)
{
    m_services.log.write("request", "connection to endpoint lost",
                         {{"request", m_request.id},
                          {"endpoint", endpoint},
                          {"parts", sharedPartsText(m_request)},
                          {"suspect", m_suspects.empty() ? "" : suspectText(m_suspects.front().id)},
                          {"evidence", evidence},
                          {"framing", framingName(m_relay.framing())},
                          {"sinceSentMs", millisecondsText(Loop::now() - m_sentAt)},
                          {"lastEvent", m_relay.lastEventId().value_or("")},
                          {"try", std::to_string(m_attemptTracker->attemptCount())}});
}

void ProxyCall::handleNotRun()
{
    m_attemptTracker->recordNotRun();
    retryOrFail(ErrorKind::Overloaded);
}

void ProxyCall::handleBroken()
{
    if (m_relay.isForwarding() && !m_relay.canResume(*m_route)) {
        m_relay.abort();
        finish("broken off");
        return;
    }
    retryOrFail(ErrorKind::OutcomeUnknown);
}

void ProxyCall::retryOrFail(ErrorKind kind)
{
    const bool mayRetry = !m_isTrial && hasTimeBeforeExit() && m_attemptTracker->canRetry() && m_services.retryBudget.tryConsumeRetry();
    if (mayRetry) {
        m_relay.discardHeld();
        send();
        return;
    }
    fail(kind);
}

void ProxyCall::handleComplete()
{
    const bool isFailure = m_relay.response().status >= firstServerErrorStatus;
    const bool isRetried = isFailure && !m_relay.isForwarding() && m_route->retryPolicy == RetryPolicy::Idempotent && hasTimeBeforeExit()
        && m_attemptTracker->canRetry() && m_services.retryBudget.tryConsumeRetry();
    if (isRetried) {
        m_relay.discardHeld();
        send();
        return;
    }
    if (!m_relay.isEndMarked()) {
        // The endpoint may have ended, in which case the response is not complete.
        m_services.crashGuard.recordLost(m_endpointStart, m_suspects);
    } else if (m_relay.response().status < firstRedirectStatus) {
        m_services.crashGuard.recordCompleted(m_suspects, m_sentAt);
    }
    m_relay.complete();
    finish(isFailure ? "failed by the endpoint" : "answered");
}

void ProxyCall::cancelSearch()
{
    if (m_endpointSearch.has_value()) {
        m_endpointSearch->cancel();
    }
    m_services.crashGuard.cancelClaim(m_trialClaim);
    m_services.quotaClient.cancel(m_endpointReservation);
    m_services.streamVersions.lookups().cancel(m_versionLookup);
}

void ProxyCall::handleTimeout()
{
    m_timeoutTimer = 0;
    cancelSearch();
    recordUnanswered();
    m_services.pool.cancel(m_endpointCall);
    recordAttemptEnd(HttpCallResult::Broken);
    releaseEndpoint();
    fail(m_attemptTracker->isCertainlyNotRun() ? ErrorKind::NoEndpoint : ErrorKind::TimedOut);
}

void ProxyCall::recordUnanswered()
{
    // The endpoint daemons notice engines that have become silent, and prompts wait there for long.
    const bool isWaiting = !m_isEngineService && !m_endpoint.empty() && m_relay.response().status == 0;
    if (isWaiting && Loop::now() - m_sentAt >= minUnansweredTime) {
        m_services.crashGuard.recordUnanswered(m_endpointStart, m_suspects);
    }
}

void ProxyCall::handleCallerDisconnect()
{
    cancelSearch();
    recordUnanswered();
    m_services.pool.cancel(m_endpointCall);
    releaseEndpoint();
    finish("caller gone");
}

void ProxyCall::endBeforeExit()
{
    cancelSearch();
    m_services.pool.cancel(m_endpointCall);
    releaseEndpoint();
    fail(ErrorKind::Stopping);
}

void ProxyCall::abandonOldWeights(TimePoint now)
{
    if (m_endpoint.empty() || !m_isEngineService || m_isPromptDone) {
        return;
    }
    const std::optional<WeightsCutoff> cutoff = m_endpointSearch->weightsCutoff(m_sentWeights);
    if (!cutoff.has_value() || now < cutoff->abandonAt()) {
        return;
    }
    m_services.log.write("request", "given up on older weights",
                         {{"request", m_request.id},
                          {"endpoint", m_endpoint},
                          {"weights", std::to_string(m_sentWeights)},
                          {"outdatedBy", std::to_string(cutoff->version())},
                          {"sinceSentMs", millisecondsText(now - m_sentAt)}});
    m_services.pool.cancel(m_endpointCall);
    releaseEndpoint();
    handleBroken();
}

void ProxyCall::handleEndpointStarted(const EndpointStart &start)
{
    // An entry with another id does not prove that the endpoint has ended, and one with another id refuses the request.
    const bool isSameEndpoint = start.id.empty() || start.id == m_endpointStart.id;
    const bool isTimeKnown = m_endpointStart.startedMs != 0 && start.startedMs != 0;
    if (!isSameEndpoint || m_endpointStart.address != start.address || !isTimeKnown || m_endpointStart.startedMs >= start.startedMs) {
        return;
    }
    m_isStartDoubtful = true;
    handleEndpointEnded(m_endpointStart);
}

std::optional<EndpointStart> ProxyCall::currentEndpoint() const
{
    return m_endpoint.empty() ? std::nullopt : std::optional<EndpointStart>(m_endpointStart);
}

void ProxyCall::handleEndpointEnded(const EndpointStart &earlier)
{
    // A later attempt has reached the new incarnation, which states that it does not run it.
    const bool isOnItsWay = Loop::now() - m_sentAt < misdirectedAnswerTime;
    if (m_endpoint.empty() || isOnItsWay || startName(m_endpointStart) != startName(earlier)
        || m_endpointStart.address != earlier.address) {
        return;
    }
    const std::string endpoint = m_endpoint;
    m_services.pool.cancel(m_endpointCall);
    recordAttemptEnd(HttpCallResult::Broken);
    releaseEndpoint();
    recordConnectionLost(endpoint, "endpoint started again");
    handleBroken();
}

void ProxyCall::handleEndpointSilent(const std::string &address)
{
    if (!m_endpoint.empty() && m_endpointStart.address == address) {
        m_services.crashGuard.recordSilent(m_endpointStart, m_suspects);
    }
}

void ProxyCall::fail(ErrorKind kind, Duration expectedWait)
{
    if (m_attemptTracker.has_value() && !m_attemptTracker->isCertainlyNotRun() && errorResponse(kind).runState == RunState::NotRun) {
        // The endpoint may have run the request, so the error must not claim that it did not run.
        kind = ErrorKind::OutcomeUnknown;
    }
    if (m_relay.isForwarding()) {
        m_relay.abort();
        finish("broken off");
        return;
    }
    const ErrorResponse &response = errorResponse(kind);
    std::optional<Duration> retryAfter;
    if (response.httpStatus == 503 || response.httpStatus == 429) {
        // A blocked request has no chance before the time of the next trial, so the advice is not shortened for it.
        retryAfter = kind == ErrorKind::CrashSuspected
            ? expectedWait
            : RetryAdvice::retryAfter(expectedWait, remainingTime(), hashBytes(m_request.id, prefixSeed));
        m_services.log.write("request", "told to return",
                             {{"request", m_request.id},
                              {"reason", response.name},
                              {"waitMs", millisecondsText(expectedWait)},
                              {"retryAfterMs", millisecondsText(*retryAfter)}});
    }
    m_services.listener.respond(m_exchange, platform::localResponseHead(response.httpStatus, m_request.id, retryAfter),
                                std::string(response.text) + "\n");
    finish(response.name);
}

void ProxyCall::logOutcome(const char *outcome)
{
    const Duration confirmationAge
        = m_services.operatorFeed.confirmedAt() == timeNever ? Duration::zero() : Loop::now() - m_services.operatorFeed.confirmedAt();
    m_services.log.write("request", outcome,
                         {{"request", m_request.id},
                          {"route", m_route == nullptr ? "" : m_route->name},
                          {"account", m_account == nullptr ? "" : m_account->name},
                          {"endpoint", m_triedEndpoints.empty() ? "" : m_triedEndpoints.back()},
                          {"status", std::to_string(m_relay.response().status)},
                          {"weights", std::to_string(m_relay.response().weightsVersion)},
                          {"framing", framingName(m_relay.framing())},
                          {"lastEvent", m_relay.lastEventId().value_or("")},
                          {"tries", std::to_string(m_triedEndpoints.size())},
                          {"firstEventMs", millisecondsText(m_relay.timeToFirstEvent())},
                          {"tookMs", millisecondsText(Loop::now() - m_incoming.arrived)},
                          {"configAgeMs", millisecondsText(confirmationAge)}});
}

void ProxyCall::finish(const char *outcome)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    returnVersionGrant();
    logOutcome(outcome);
    // The call itself may be destroyed later.
    m_relay.discardHeld();
    m_services.metrics.increment(std::string("requests ") + outcome);
    m_services.metrics.addSample("request", Loop::now() - m_incoming.arrived);
    m_services.loop.timers().unsubscribe(m_timeoutTimer);
    if (m_quotaAcquisition != nullptr && m_attemptTracker->isCertainlyNotRun()) {
        m_quotaAcquisition->refund();
    }
    m_onEnd(m_exchange);
}

}
