#include "main/sidecar/sidecarrole.h"

#include "main/feeds/eracounter.h"
#include "servers/fencingtoken.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

constexpr Duration storeTimeout = std::chrono::milliseconds(1000);

// Store calls are billed and nothing here depends on fresh API keys, so long polls may last long; a change ends one at once.
constexpr StoreFeed::PollSettings feedPolling{std::chrono::seconds(20), std::chrono::milliseconds(200)};

constexpr Duration tickPeriod = std::chrono::milliseconds(50);
constexpr Duration reportPeriod = std::chrono::milliseconds(100);
constexpr Duration reportTimeout = std::chrono::milliseconds(500);
// Engines accept an order at once, and execute it afterwards.
constexpr Duration orderTimeout = std::chrono::milliseconds(400);
constexpr Duration fencingTokenRetryDelay = std::chrono::milliseconds(500);
// Another holder with a higher token gives no more orders after this time, unless it is the rightful one.
constexpr Duration fencingTokenRenewalDelay = std::chrono::seconds(4);

// An unchanged state is published again after this time, so that it does not expire at the entry daemons.
constexpr Duration republishPeriod = std::chrono::milliseconds(600);

// Each daemon writes its name into this table; the version of the written row is its fencing token.
constexpr const char *holderTable = "holders";

// An entry daemon counts as gone after this long without a hello; until then its share of the rates stays reserved.
constexpr Duration entryDaemonTimeout = std::chrono::seconds(30);

constexpr std::chrono::milliseconds unknownAccountRetryAfter = std::chrono::milliseconds(500);

// The state is published when the load has changed by this many requests.
constexpr std::int64_t publishedLoadStep = 4;

// The same for requests that are queued or in prefill, on which the time to the first token depends. Not used yet:
// publishIfDue() compares the queued requests with publishedLoadStep and ignores those in prefill.
constexpr std::int64_t publishedQueueStep = 1;

// Rates are tokens per millisecond in decisions and tokens per second in messages.
constexpr double millisecondsPerSecond = 1000;

}

SidecarRole::SidecarRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings)
    : m_core(core)
    , m_links(links)
    , m_log(core.settings().daemon)
    , m_pool(core.loop())
    , m_store(m_pool, parseSocketAddress(core.settings().table), storeTimeout)
    , m_operatorFeed(core.loop(), m_store, m_log, feedPolling)
    , m_endpointFeed(core.loop(), m_store, m_log, feedPolling, settings.returnGrace)
    , m_engineClient(m_pool, parseSocketAddress(core.settings().engine))
    , m_rollout(WeightsRollout::Settings())
    , m_quotaHolder(QuotaTolerance{settings.quotaOvershoot, settings.quotaSlack, settings.quotaWindow})
    , m_engineAddress(core.settings().engine)
{
    countStoreEras(m_store, core.metrics());
    if (settings.rollouts.has_value()) {
        m_rollouts = std::make_unique<RolloutService>(core, links, m_store, m_log, m_operatorFeed, feedPolling, settings.returnGrace,
                                                      *settings.rollouts, settings.keyRevocation);
    }
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
    m_links.onClosed([this](PeerNetwork::LinkId link) {
        m_subscribers.erase(link);
        m_promptTracker.dropOwner(link);
    });
    m_operatorFeed.onWeights([this](const std::string &, const WeightsVersion &) {
        // The order in which engines are updated follows from the current endpoint list, so it is read again.
        m_isListCurrent = false;
        m_endpointFeed.readOnce();
    });
    m_operatorFeed.onConfig([this](const TrafficConfig &config) {
        m_endpointFeed.applyConfig(config);
        m_accountLimits.discardUpTo(config.version);
    });
    m_endpointFeed.onRead([this]() {
        m_isListCurrent = true;
        updateWantedWeights();
    });
}

bool SidecarRole::open()
{
    m_operatorFeed.start();
    m_endpointFeed.readOnce();
    acquireFencingToken();
    requestReport();
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
    m_core.timers().subscribe(reportPeriod, [this](TimePoint) {
        requestReport();
    });
    m_log.write("daemon", "started", {{"engine", m_engineAddress}, {"zone", m_core.settings().zone}});
    return true;
}

void SidecarRole::acquireFencingToken()
{
    m_store.put(holderTable, m_engineAddress, m_core.settings().daemon, [this](const platform::StoreReply &reply) {
        if (reply.failure.has_value()) {
            m_core.timers().subscribeOnce(fencingTokenRetryDelay, [this](TimePoint) {
                acquireFencingToken();
            });
            return;
        }
        m_fencingToken = makeFencingToken(reply.era, reply.rows.version);
        m_log.write("orders", "fencing token acquired", {{"fence", std::to_string(m_fencingToken)}});
    });
}

void SidecarRole::renewFencingToken()
{
    m_fencingToken = 0;
    m_log.write("orders", "fencing token outdated", {{"engine", m_engineAddress}});
    m_core.timers().subscribeOnce(fencingTokenRenewalDelay, [this](TimePoint) {
        acquireFencingToken();
    });
}

void SidecarRole::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.entryHello) {
        handleEntryHello(origin);
    } else if (body.__isset.reserve) {
        handleReserve(origin, body.reserve);
    } else if (body.__isset.endpointReserve) {
        handleEndpointReserve(origin, body.endpointReserve);
    } else if (body.__isset.probe) {
        handleProbe(origin, body.probe);
    } else if (body.__isset.prefixUse) {
        handlePrefixUse(body.prefixUse);
    } else {
        handlePromptMessage(origin, body);
    }
}

void SidecarRole::handleEntryHello(const MessageOrigin &origin)
{
    m_entryDaemons[origin.sender] = Loop::now();
    if (m_subscribers.insert(origin.link).second) {
        m_log.write("peer", "entry daemon connected", {{"entry", origin.sender}});
        sendState(origin.link, currentState());
    }
}

int SidecarRole::countEntryDaemons(TimePoint now)
{
    for (auto it = m_entryDaemons.begin(); it != m_entryDaemons.end();) {
        it = now - it->second > entryDaemonTimeout ? m_entryDaemons.erase(it) : std::next(it);
    }
    return static_cast<int>(m_entryDaemons.size());
}

std::optional<TrafficAccount> SidecarRole::resolveAccount(const MessageOrigin &origin, const wire::Reserve &reserve)
{
    const std::shared_ptr<const TrafficConfig> config = m_operatorFeed.config();
    const std::int64_t ownVersion = config == nullptr ? 0 : config->version;
    const TrafficAccount *own = config == nullptr ? nullptr : config->findAccountByName(reserve.account);
    const std::size_t newerBefore = m_accountLimits.newerCount();
    const std::optional<TrafficAccount> account = m_accountLimits.resolve(
        reserve.account, own, ownVersion, StatedLimit{reserve.configVersion, reserve.ratePerSecond, reserve.burst});
    if (m_accountLimits.newerCount() > newerBefore) {
        m_log.write("quota", "newer limit stated",
                    {{"account", reserve.account},
                     {"entry", origin.sender},
                     {"perSecond", std::to_string(reserve.ratePerSecond)},
                     {"ownPerSecond", own == nullptr ? "" : std::to_string(own->ratePerSecond)},
                     {"stated", std::to_string(reserve.configVersion)},
                     {"config", std::to_string(ownVersion)},
                     {"configAgeMs", configAgeText()}});
    }
    return account;
}

std::string SidecarRole::configAgeText() const
{
    return m_operatorFeed.confirmedAt() == timeNever ? "unknown" : millisecondsText(Loop::now() - m_operatorFeed.confirmedAt());
}

void SidecarRole::handleReserve(const MessageOrigin &origin, const wire::Reserve &reserve)
{
    wire::ReserveAnswer answer;
    answer.__set_reservationId(reserve.reservationId);
    const std::optional<TrafficAccount> account = resolveAccount(origin, reserve);
    if (account.has_value()) {
        m_quotaHolder.setDaemonCount(countEntryDaemons(Loop::now()));
        const QuotaHolder::Answer decision = m_quotaHolder.reserve(*account, static_cast<double>(reserve.tokens), Loop::now());
        answer.__set_isGranted(decision.isGranted);
        answer.__set_retryAfterMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(decision.retryAfter).count() + 1);
        if (!decision.isGranted) {
            const std::shared_ptr<const TrafficConfig> config = m_operatorFeed.config();
            m_log.write("quota", "reservation refused",
                        {{"request", reserve.request},
                         {"account", reserve.account},
                         {"entry", origin.sender},
                         {"cost", std::to_string(reserve.tokens)},
                         {"waitMs", millisecondsText(decision.retryAfter)},
                         {"perSecond", std::to_string(account->ratePerSecond)},
                         {"stated", std::to_string(reserve.configVersion)},
                         {"config", std::to_string(config == nullptr ? 0 : config->version)},
                         {"configAgeMs", configAgeText()}});
        }
    } else {
        answer.__set_retryAfterMilliseconds(unknownAccountRetryAfter.count());
    }
    wire::Body body;
    body.__set_reserveAnswer(answer);
    m_links.send(origin.link, body);
}

void SidecarRole::handleEndpointReserve(const MessageOrigin &origin, const wire::EndpointReserve &reserve)
{
    const TimePoint now = Loop::now();
    const EndpointLimit limit{reserve.requestsPerSecond, now - std::chrono::milliseconds(reserve.statementAgeMilliseconds)};
    const EndpointLimitHolder::Answer decision
        = m_endpointLimitHolder.reserve(reserve.endpoint, limit, reserve.account, reserve.isHolderNew, now);
    wire::ReserveAnswer answer;
    answer.__set_reservationId(reserve.reservationId);
    answer.__set_isGranted(decision.isGranted);
    answer.__set_retryAfterMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(decision.retryAfter).count() + 1);
    if (!decision.isGranted) {
        m_log.write("limits", "request refused",
                    {{"endpoint", reserve.endpoint},
                     {"account", reserve.account},
                     {"entry", origin.sender},
                     {"perSecond", std::to_string(limit.requestsPerSecond)},
                     {"waitMs", millisecondsText(decision.retryAfter)}});
    }
    wire::Body body;
    body.__set_reserveAnswer(answer);
    m_links.send(origin.link, body);
}

void SidecarRole::handleProbe(const MessageOrigin &origin, const wire::Probe &probe)
{
    const TimePoint now = Loop::now();
    wire::ProbeAnswer answer;
    answer.__set_probeId(probe.probeId);
    answer.__set_cachedBlocks(static_cast<std::int32_t>(m_promptTracker.knownPrefixes(probe.blocks, now)));
    // Without a report it is not known what the engine prefills already, so all tokens count.
    answer.__set_queuedTokens(m_report.has_value() ? m_promptTracker.tokensBefore(probe.priority, reportedPrefilling(), now)
                                                   : m_promptTracker.pendingTokens(now));
    answer.__set_prefillTokensPerSecond(std::llround(m_promptTracker.prefillTokensPerMs(now) * millisecondsPerSecond));
    const PrefixRecord record = probe.blocks.empty() ? PrefixRecord() : m_prefixDirectory.find(probe.blocks.back(), now);
    answer.__set_cachedEngine(record.engine);
    answer.__set_cachedAgeMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(record.cachedAge).count());
    if (record.savedAge.has_value()) {
        answer.__set_savedAgeMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(*record.savedAge).count());
    }
    wire::Body body;
    body.__set_probeAnswer(answer);
    m_links.send(origin.link, body);
}

void SidecarRole::handlePrefixUse(const wire::PrefixUse &use)
{
    if (!use.engine.empty()) {
        m_prefixDirectory.recordCached(use.prefix, use.engine, Loop::now());
    }
    if (use.isSaved) {
        m_prefixDirectory.recordSaved(use.prefix, Loop::now());
    }
}

void SidecarRole::handlePromptMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.promptSent) {
        const wire::PromptSent &sent = body.promptSent;
        m_promptTracker.recordSent(origin.link, sent.promptId, sent.tokens, sent.prefixes, Loop::now(), sent.priority);
    } else if (body.__isset.promptDone) {
        m_promptTracker.recordDone(origin.link, body.promptDone.promptId, body.promptDone.isRead, Loop::now());
    }
}

const ListedEndpoint *SidecarRole::findOwnEntry() const
{
    const ListedEndpoint *ownEntry = nullptr;
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().atAddress(m_engineAddress)) {
        const bool isSameStart = m_report.has_value() && endpoint->startedMs == m_report->startedMs;
        if (ownEntry == nullptr || isSameStart) {
            ownEntry = endpoint;
        }
    }
    return ownEntry;
}

void SidecarRole::updateWantedWeights()
{
    const ListedEndpoint *ownEntry = findOwnEntry();
    if (!m_report.has_value() || !m_isListCurrent) {
        return;
    }
    const std::int64_t wantedVersion = m_operatorFeed.weights(m_report->model).wantedVersion();
    std::vector<WeightsRollout::OutdatedEngine> outdated;
    std::size_t poolSize = 0;
    if (ownEntry != nullptr) {
        for (const ListedEndpoint *endpoint : m_endpointFeed.directory().available(ownEntry->service)) {
            ++poolSize;
            const std::int64_t version = endpoint == ownEntry ? m_report->weightsVersion : endpoint->weightsVersion;
            if (version < wantedVersion) {
                outdated.push_back(WeightsRollout::OutdatedEngine{endpoint->id, version});
            }
        }
    }
    if (wantedVersion > m_rollout.wantedVersion()) {
        m_rollout.setWantedVersion(wantedVersion, poolSize, outdated, ownEntry == nullptr ? std::string() : ownEntry->id, Loop::now());
    }
}

void SidecarRole::requestReport()
{
    if (m_isReportPending) {
        return;
    }
    m_isReportPending = true;
    m_engineClient.fetchReport(reportTimeout, [this](const std::optional<platform::EngineReport> &report) {
        m_isReportPending = false;
        handleReport(report);
    });
}

void SidecarRole::handleReport(const std::optional<platform::EngineReport> &report)
{
    if (m_isAnswering != report.has_value()) {
        m_log.write("engine", report.has_value() ? "responding" : "not responding", {{"engine", m_engineAddress}});
    }
    m_isAnswering = report.has_value();
    if (report.has_value()) {
        if (m_report.has_value() && m_report->startedMs != report->startedMs) {
            m_log.write("engine", "restarted", {{"engine", m_engineAddress}, {"weights", std::to_string(report->weightsVersion)}});
            m_rollout.recordRestart();
            m_promptTracker.clear();
        } else if (m_report.has_value() && m_report->weightsVersion != report->weightsVersion) {
            m_promptTracker.discardPrefillRate();
        }
        m_report = report;
        updateWantedWeights();
        m_rollout.recordReport(report->weightsVersion, report->isBusy, Loop::now());
    }
    update();
}

void SidecarRole::tick(TimePoint)
{
    update();
}

void SidecarRole::update()
{
    if (m_rollout.nextStep(Loop::now()) == WeightsRollout::Step::Order && m_isAnswering && m_fencingToken > 0 && !m_isOrderPending) {
        sendLoadOrder();
    }
    publishIfDue();
}

void SidecarRole::sendLoadOrder()
{
    const ListedEndpoint *ownEntry = findOwnEntry();
    platform::LoadOrder order;
    order.model = m_report->model;
    order.version = m_rollout.wantedVersion();
    order.runningPolicy = platform::LoadOrder::RunningPolicy::Continue;
    order.holder = m_core.settings().daemon;
    order.fence = m_fencingToken;
    order.expectedOrders = m_report->acceptedOrders;
    const bool isKnown = ownEntry != nullptr && ownEntry->startedMs == m_report->startedMs;
    order.instance = isKnown ? ownEntry->id : std::string();
    m_isOrderPending = true;
    m_rollout.recordOrdered(Loop::now());
    m_engineClient.sendOrder(order, orderTimeout, [this, order](platform::OrderOutcome outcome, int status) {
        m_isOrderPending = false;
        m_log.write("orders", "load ordered",
                    {{"weights", std::to_string(order.version)},
                     {"expected", std::to_string(order.expectedOrders)},
                     {"fence", std::to_string(order.fence)},
                     {"status", std::to_string(status)}});
        if (outcome == platform::OrderOutcome::Refused || outcome == platform::OrderOutcome::Outdated) {
            m_rollout.recordRefused(Loop::now());
        } else if (outcome == platform::OrderOutcome::Unknown) {
            m_rollout.recordUnanswered(Loop::now());
        }
        if (outcome == platform::OrderOutcome::Outdated && m_fencingToken == order.fence) {
            renewFencingToken();
        }
        requestReport();
    });
}

std::int64_t SidecarRole::reportedPrefilling() const
{
    return m_report.has_value() ? std::max<std::int64_t>(0, m_report->running - m_report->producing) : 0;
}

wire::EngineState SidecarRole::currentState()
{
    wire::EngineState state;
    state.entryDaemons = countEntryDaemons(Loop::now());
    state.address = m_engineAddress;
    state.isAnswering = m_isAnswering;
    state.isLoading = m_rollout.isLoading(Loop::now());
    state.prefillTokensPerSecond = std::llround(m_promptTracker.prefillTokensPerMs(Loop::now()) * millisecondsPerSecond);
    if (m_report.has_value()) {
        state.startedMs = m_report->startedMs;
        state.weightsVersion = m_report->weightsVersion;
        state.running = m_report->running;
        state.waiting = m_report->waiting;
        state.prefilling = reportedPrefilling();
        state.usedTokens = m_report->usedTokens;
        state.totalTokens = m_report->totalTokens;
    }
    return state;
}

void SidecarRole::publishIfDue()
{
    const wire::EngineState state = currentState();
    const bool isChanged = state.startedMs != m_publishedState.startedMs || state.isAnswering != m_publishedState.isAnswering
        || state.isLoading != m_publishedState.isLoading || state.weightsVersion != m_publishedState.weightsVersion
        || std::abs(state.running - m_publishedState.running) >= publishedLoadStep
        || std::abs(state.waiting - m_publishedState.waiting) >= publishedLoadStep;
    const TimePoint now = Loop::now();
    if (!isChanged && m_publishedAt != timeNever && now - m_publishedAt < republishPeriod) {
        return;
    }
    m_publishedState = state;
    m_publishedAt = now;
    const std::vector<PeerNetwork::LinkId> links(m_subscribers.begin(), m_subscribers.end());
    for (const PeerNetwork::LinkId link : links) {
        sendState(link, state);
    }
}

void SidecarRole::sendState(PeerNetwork::LinkId link, const wire::EngineState &state)
{
    wire::Body body;
    body.__set_engineState(state);
    if (!m_links.send(link, body)) {
        m_subscribers.erase(link);
    }
}

void SidecarRole::applySettings(const Settings &settings)
{
    if (!settings.platform.has_value()) {
        return;
    }
    m_quotaHolder.setTolerance(
        QuotaTolerance{settings.platform->quotaOvershoot, settings.platform->quotaSlack, settings.platform->quotaWindow});
    m_log.write("daemon", "settings reloaded", {});
}

void SidecarRole::beginStop()
{
    m_log.write("daemon", "stopping", {});
}

bool SidecarRole::isIdle() const
{
    return true;
}

}
