#include "main/companion/companionrole.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

constexpr Duration storeTimeout = std::chrono::milliseconds(1000);

// Nothing here depends on fresh keys, and calls are priced: a change ends the wait at once.
constexpr StoreFeed::Pace feedPace{std::chrono::seconds(20), std::chrono::milliseconds(200)};

constexpr Duration tickPeriod = std::chrono::milliseconds(50);
constexpr Duration reportPeriod = std::chrono::milliseconds(100);
constexpr Duration reportTimeout = std::chrono::milliseconds(500);
constexpr Duration orderTimeout = std::chrono::milliseconds(800);
constexpr Duration fenceRetry = std::chrono::milliseconds(500);

// A state that has not changed is told again after this time, so that it does not age out.
constexpr Duration tellPeriod = std::chrono::milliseconds(600);

// The table in which each daemon leaves its name; the write gives it a fencing token.
constexpr const char *holderTable = "holders";

// An entry daemon that was not heard of for this long has left; until then its part of the rates is kept free.
constexpr Duration entryDaemonMemory = std::chrono::seconds(30);

constexpr std::chrono::milliseconds unknownAccountWait = std::chrono::milliseconds(500);

// Load is told when it has changed by this many requests.
constexpr std::int64_t toldLoadStep = 4;

// The same for requests that wait or are being read, on which the time to the first token depends.
constexpr std::int64_t toldQueueStep = 1;

}

CompanionRole::CompanionRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings)
    : m_core(core)
    , m_links(links)
    , m_log(core.settings().daemon)
    , m_pool(core.loop())
    , m_store(m_pool, parseSocketAddress(core.settings().table), storeTimeout)
    , m_operators(core.loop(), m_store, m_log, feedPace)
    , m_endpoints(core.loop(), m_store, m_log, feedPace, settings.returnGrace)
    , m_engine(m_pool, parseSocketAddress(core.settings().engine))
    , m_rollout(WeightsRollout::Settings())
    , m_quotas(QuotaTolerance{settings.quotaOvershoot, settings.quotaSlack, settings.quotaWindow})
    , m_engineAddress(core.settings().engine)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        takeMessage(origin, body);
    });
    m_links.onClosed([this](PeerNetwork::LinkId link) {
        m_subscribers.erase(link);
        m_prompts.dropOwner(link);
    });
    m_operators.onWeights([this](const std::string &, std::int64_t) {
        // The turns of a rollout follow from the list as it is now.
        m_isListNew = false;
        m_endpoints.readOnce();
    });
    m_endpoints.onChange([this]() {
        m_isListNew = true;
        nameWeights();
    });
}

bool CompanionRole::open()
{
    m_operators.start();
    m_endpoints.readOnce();
    acquireFence();
    askEngine();
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
    m_core.timers().subscribe(reportPeriod, [this](TimePoint) {
        askEngine();
    });
    m_log.write("daemon", "started", {{"engine", m_engineAddress}, {"zone", m_core.settings().zone}});
    return true;
}

void CompanionRole::acquireFence()
{
    m_store.put(holderTable, m_engineAddress, m_core.settings().daemon, [this](const platform::StoreReply &reply) {
        if (reply.failure.has_value()) {
            m_core.timers().subscribeOnce(fenceRetry, [this](TimePoint) {
                acquireFence();
            });
            return;
        }
        m_fence = reply.rows.version;
        m_log.write("orders", "fencing token acquired", {{"fence", std::to_string(m_fence)}});
    });
}

void CompanionRole::takeMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.entryHello) {
        takeHello(origin);
    } else if (body.__isset.reserve) {
        answerReserve(origin, body.reserve);
    } else if (body.__isset.probe) {
        answerProbe(origin, body.probe);
    } else {
        takePrompt(origin, body);
    }
}

void CompanionRole::takeHello(const MessageOrigin &origin)
{
    m_entryDaemons[origin.sender] = Loop::now();
    if (m_subscribers.insert(origin.link).second) {
        m_log.write("peer", "entry daemon linked", {{"entry", origin.sender}});
        tell(origin.link, stateNow());
    }
}

int CompanionRole::countEntryDaemons(TimePoint now)
{
    for (auto it = m_entryDaemons.begin(); it != m_entryDaemons.end();) {
        it = now - it->second > entryDaemonMemory ? m_entryDaemons.erase(it) : std::next(it);
    }
    return static_cast<int>(m_entryDaemons.size());
}

void CompanionRole::answerReserve(const MessageOrigin &origin, const wire::Reserve &question)
{
    wire::ReserveAnswer answer;
    answer.__set_reservationId(question.reservationId);
    const std::shared_ptr<const TrafficConfig> config = m_operators.config();
    const TrafficAccount *account = config == nullptr ? nullptr : config->findAccountByName(question.account);
    if (account != nullptr) {
        const QuotaHolder::Answer decided = m_quotas.reserve(*account, static_cast<double>(question.tokens), Loop::now());
        answer.__set_isGranted(decided.isGranted);
        answer.__set_retryAfterMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(decided.wait).count() + 1);
        if (!decided.isGranted) {
            m_log.write("quota", "refused",
                        {{"request", question.request},
                         {"account", question.account},
                         {"entry", origin.sender},
                         {"cost", std::to_string(question.tokens)},
                         {"waitMs", millisecondsText(decided.wait)},
                         {"config", std::to_string(config->version)}});
        }
    } else {
        answer.__set_retryAfterMilliseconds(unknownAccountWait.count());
    }
    wire::Body body;
    body.__set_reserveAnswer(answer);
    m_links.send(origin.link, body);
}

void CompanionRole::answerProbe(const MessageOrigin &origin, const wire::Probe &probe)
{
    const TimePoint now = Loop::now();
    wire::ProbeAnswer answer;
    answer.__set_probeId(probe.probeId);
    answer.__set_cachedBlocks(static_cast<std::int32_t>(m_prompts.knownPrefixes(probe.blocks, now)));
    answer.__set_queuedTokens(m_prompts.pendingTokens(now));
    wire::Body body;
    body.__set_probeAnswer(answer);
    m_links.send(origin.link, body);
}

void CompanionRole::takePrompt(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.promptSent) {
        const wire::PromptSent &sent = body.promptSent;
        m_prompts.noteSent(origin.link, sent.promptId, sent.tokens, sent.prefixes, Loop::now());
    } else if (body.__isset.promptDone) {
        m_prompts.noteDone(origin.link, body.promptDone.promptId, body.promptDone.isRead, Loop::now());
    }
}

const ListedEndpoint *CompanionRole::ownEntry() const
{
    const ListedEndpoint *own = nullptr;
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints.directory().all()) {
        const bool isSameStart = m_report.has_value() && entry.second.startedMs == m_report->startedMs;
        if (entry.second.address == m_engineAddress && (own == nullptr || isSameStart)) {
            own = &entry.second;
        }
    }
    return own;
}

void CompanionRole::nameWeights()
{
    const ListedEndpoint *own = ownEntry();
    if (!m_report.has_value() || !m_isListNew) {
        return;
    }
    const OperatorFeed::NamedWeightsState named = m_operators.namedWeights(m_report->model);
    std::vector<std::string> outdated;
    std::size_t poolSize = 0;
    if (own != nullptr) {
        for (const ListedEndpoint *endpoint : m_endpoints.directory().available(own->service)) {
            ++poolSize;
            if (endpoint->weightsVersion < named.version) {
                outdated.push_back(endpoint->id);
            }
        }
    }
    if (named.version > m_rollout.wantedVersion()) {
        m_rollout.name(named.version, poolSize, outdated, own == nullptr ? std::string() : own->id, Loop::now());
    }
}

void CompanionRole::askEngine()
{
    if (m_isAsking) {
        return;
    }
    m_isAsking = true;
    m_engine.report(reportTimeout, [this](const std::optional<platform::EngineReport> &report) {
        m_isAsking = false;
        takeReport(report);
    });
}

void CompanionRole::takeReport(const std::optional<platform::EngineReport> &report)
{
    if (m_isAnswering != report.has_value()) {
        m_log.write("engine", report.has_value() ? "answers" : "does not answer", {{"engine", m_engineAddress}});
    }
    m_isAnswering = report.has_value();
    if (report.has_value()) {
        if (m_report.has_value() && m_report->startedMs != report->startedMs) {
            m_log.write("engine", "restarted", {{"engine", m_engineAddress}, {"weights", std::to_string(report->weightsVersion)}});
            m_rollout.restart();
            m_prompts.clear();
        }
        m_report = report;
        nameWeights();
        m_rollout.report(report->weightsVersion, report->isBusy, Loop::now());
    }
    act();
}

void CompanionRole::tick(TimePoint)
{
    act();
}

void CompanionRole::act()
{
    if (m_rollout.step(Loop::now()) == WeightsRollout::Step::Order && m_isAnswering && m_fence > 0 && !m_isOrdering) {
        giveOrder();
    }
    tellIfChanged();
}

void CompanionRole::giveOrder()
{
    const ListedEndpoint *own = ownEntry();
    platform::LoadOrder order;
    order.model = m_report->model;
    order.version = m_rollout.wantedVersion();
    order.running = platform::LoadOrder::Running::Continue;
    order.holder = m_core.settings().daemon;
    order.fence = m_fence;
    order.expectedOrders = m_report->acceptedOrders;
    const bool isKnown = own != nullptr && own->startedMs == m_report->startedMs;
    order.instance = isKnown ? own->id : std::string();
    m_isOrdering = true;
    m_rollout.noteOrdered(Loop::now());
    m_engine.order(order, orderTimeout, [this, order](platform::OrderOutcome outcome, int status) {
        m_isOrdering = false;
        m_log.write("orders", "load ordered",
                    {{"weights", std::to_string(order.version)},
                     {"expected", std::to_string(order.expectedOrders)},
                     {"fence", std::to_string(order.fence)},
                     {"status", std::to_string(status)}});
        if (outcome == platform::OrderOutcome::Refused) {
            m_rollout.noteRefused(Loop::now());
        }
        askEngine();
    });
}

wire::EngineState CompanionRole::stateNow()
{
    wire::EngineState state;
    state.entryDaemons = countEntryDaemons(Loop::now());
    state.address = m_engineAddress;
    state.isAnswering = m_isAnswering;
    state.isLoading = m_rollout.isLoading(Loop::now());
    if (m_report.has_value()) {
        state.startedMs = m_report->startedMs;
        state.weightsVersion = m_report->weightsVersion;
        state.running = m_report->running;
        state.waiting = m_report->waiting;
        state.prefilling = std::max<std::int64_t>(0, m_report->running - m_report->producing);
        state.usedTokens = m_report->usedTokens;
        state.totalTokens = m_report->totalTokens;
    }
    return state;
}

void CompanionRole::tellIfChanged()
{
    const wire::EngineState state = stateNow();
    const bool isChanged = state.startedMs != m_told.startedMs || state.isAnswering != m_told.isAnswering
        || state.isLoading != m_told.isLoading || state.weightsVersion != m_told.weightsVersion
        || std::abs(state.running - m_told.running) >= toldLoadStep || std::abs(state.waiting - m_told.waiting) >= toldLoadStep;
    const TimePoint now = Loop::now();
    if (!isChanged && m_toldAt != timeNever && now - m_toldAt < tellPeriod) {
        return;
    }
    m_told = state;
    m_toldAt = now;
    const std::vector<PeerNetwork::LinkId> links(m_subscribers.begin(), m_subscribers.end());
    for (const PeerNetwork::LinkId link : links) {
        tell(link, state);
    }
}

void CompanionRole::tell(PeerNetwork::LinkId link, const wire::EngineState &state)
{
    wire::Body body;
    body.__set_engineState(state);
    if (!m_links.send(link, body)) {
        m_subscribers.erase(link);
    }
}

void CompanionRole::applySettings(const Settings &settings)
{
    if (!settings.platform.has_value()) {
        return;
    }
    m_quotas.setTolerance(QuotaTolerance{settings.platform->quotaOvershoot, settings.platform->quotaSlack, settings.platform->quotaWindow});
    m_log.write("daemon", "settings reloaded", {});
}

void CompanionRole::beginStop()
{
    m_log.write("daemon", "stopping", {});
}

bool CompanionRole::isIdle() const
{
    return true;
}

}
