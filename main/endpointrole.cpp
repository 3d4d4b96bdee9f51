#include "main/endpointrole.h"

#include "drivers/log.h"
#include "main/modeljob.h"
#include "main/servicejob.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace citronspar
{

namespace
{

using nlohmann::json;

const log4cxx::LoggerPtr logger = componentLogger("endpoint");

constexpr std::size_t maxSeenAttempts = 20000;

// Weight of the newest sample in the moving average of run times.
constexpr double runTimeSmoothing = 0.05;

// Engines evict blocks after seconds to minutes, and their cache events lag by less than that.
constexpr Duration expectedBlockLifetime = std::chrono::seconds(20);
constexpr std::size_t maxExpectedBlocks = 100000;

std::int64_t firstIndexOf(const wire::Dispatch &dispatch)
{
    const json document = json::parse(dispatch.body, nullptr, false);
    if (!document.is_object() || !document.contains("resume")) {
        return 0;
    }
    return document["resume"].value("tokens", std::int64_t(0));
}

}

EndpointRole::EndpointRole(DaemonCore &core, PeerLinks &links, ConfigService &config)
    : m_core(core)
    , m_links(links)
    , m_config(config)
    , m_timelines(core, links, config)
    , m_expectedBlocks(expectedBlockLifetime, maxExpectedBlocks)
{
    if (!core.settings().engine.empty()) {
        m_engine = std::make_unique<EngineWatch>(core, parseSocketAddress(core.settings().engine));
    }
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
    m_links.onClosed([this](PeerNetwork::LinkId link) {
        handleLinkClosed(link);
    });
}

bool EndpointRole::open()
{
    if (m_engine != nullptr) {
        m_engine->onDown([this]() {
            m_expectedBlocks.clear();
        });
        m_engine->start();
    }
    LOG4CXX_INFO(logger, "endpoint daemon started for endpoint " << m_core.settings().endpoint);
    return true;
}

void EndpointRole::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.probe) {
        answerProbe(origin, body.probe);
    } else if (body.__isset.dispatch) {
        handleDispatch(origin, body.dispatch);
    } else if (body.__isset.cancel) {
        cancel(AttemptId{body.cancel.attempt.incarnation, body.cancel.attempt.counter});
    } else if (body.__isset.credit) {
        const auto found = m_running.find(AttemptId{body.credit.attempt.incarnation, body.credit.attempt.counter});
        if (found != m_running.end()) {
            found->second->addCredit(body.credit.deltas);
        }
    }
}

bool EndpointRole::isDraining() const
{
    const Endpoint *endpoint = m_config.state().findEndpoint(m_core.settings().endpoint);
    return m_isStopping || endpoint == nullptr || endpoint->isRetired;
}

std::int64_t EndpointRole::runningPrefillTokens() const
{
    std::int64_t tokens = 0;
    for (const std::pair<const AttemptId, std::shared_ptr<EndpointJob>> &entry : m_running) {
        tokens += entry.second->pendingPrefillTokens();
    }
    return tokens;
}

std::int64_t EndpointRole::slotWaitTokens() const
{
    if (m_running.size() < m_core.settings().maxRunning) {
        return 0;
    }
    // With all slots in use, maxRunning attempts finish per mean run time.
    const double slotSeconds = m_meanRunSeconds / static_cast<double>(m_core.settings().maxRunning);
    const double waitSeconds = slotSeconds * static_cast<double>(m_queue.size() + 1);
    return static_cast<std::int64_t>(waitSeconds * m_core.settings().prefillTokensPerSecond);
}

void EndpointRole::updateMeanRunTime(AttemptId attempt)
{
    const auto start = m_runStarts.find(attempt);
    if (start == m_runStarts.end()) {
        return;
    }
    const double seconds = toSeconds(Loop::now() - start->second);
    m_meanRunSeconds += (seconds - m_meanRunSeconds) * runTimeSmoothing;
    m_runStarts.erase(start);
}

void EndpointRole::answerProbe(const MessageOrigin &origin, const wire::Probe &probe)
{
    if (m_engine == nullptr) {
        return;
    }
    wire::ProbeAnswer answer;
    answer.__set_probeId(probe.probeId);
    answer.__set_cachedBlocks(static_cast<std::int32_t>(cachedPrefix(probe.blocks)));
    answer.__set_queuedTokens(m_queue.tokensAhead(probe.account) + runningPrefillTokens() + slotWaitTokens());
    answer.__set_engineIncarnation(m_engine->index().incarnation());
    answer.__set_weights(m_engine->weights());
    answer.__set_isLeaving(isDraining() || !m_engine->isUp());
    answer.__set_prefillTokensPerSecond(static_cast<std::int64_t>(m_core.settings().prefillTokensPerSecond));
    wire::Body body;
    body.__set_probeAnswer(answer);
    m_links.send(origin.link, body);
}

std::optional<ErrorKind> EndpointRole::validateDispatch(const wire::Dispatch &dispatch) const
{
    DispatchParameters parameters;
    parameters.account = dispatch.account;
    parameters.keyId = dispatch.keyId;
    parameters.weights = dispatch.weights;
    parameters.configVersion = dispatch.configVersion;
    parameters.engineIncarnation = dispatch.engineIncarnation;
    parameters.timeLeft = std::chrono::milliseconds(dispatch.deadlineMilliseconds);
    parameters.digest = static_cast<std::uint64_t>(dispatch.requestDigest);
    EndpointState state;
    state.endpoint = m_core.settings().endpoint;
    state.isLeaving = isDraining();
    state.isFresh = m_config.isFresh();
    state.hasEngine = m_engine != nullptr;
    state.queuedTokens = m_queue.queuedTokens();
    if (m_engine != nullptr) {
        state.weights = m_engine->weights();
        state.engineIncarnation = m_engine->index().incarnation();
        state.isEngineUp = m_engine->isUp();
    }
    return checkDispatch(parameters, state, m_config.state());
}

void EndpointRole::handleDispatch(const MessageOrigin &origin, const wire::Dispatch &dispatch)
{
    const AttemptId attempt{dispatch.attempt.incarnation, dispatch.attempt.counter};
    if (!markSeen(attempt)) {
        return;
    }
    const std::optional<ErrorKind> error = validateDispatch(dispatch);
    if (error.has_value()) {
        refuse(origin, dispatch, *error);
        return;
    }
    m_core.metrics().increment("dispatches");
    m_queued[attempt] = makeJob(origin, dispatch);
    m_queue.push(FairQueue::Item{attempt, dispatch.account, std::max<std::int64_t>(uncachedTokens(dispatch), 1)});
    m_expectedBlocks.add(std::vector<std::uint64_t>(dispatch.blocks.begin(), dispatch.blocks.end()), Loop::now());
    startQueuedJobs();
}

bool EndpointRole::markSeen(AttemptId attempt)
{
    if (!m_seenAttempts.insert(attempt).second) {
        return false;
    }
    m_seenOrder.push_back(attempt);
    if (m_seenOrder.size() > maxSeenAttempts) {
        m_seenAttempts.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return true;
}

void EndpointRole::refuse(const MessageOrigin &origin, const wire::Dispatch &dispatch, ErrorKind kind)
{
    const AttemptId attempt{dispatch.attempt.incarnation, dispatch.attempt.counter};
    wire::DispatchRefused refused;
    refused.__set_attempt(dispatch.attempt);
    refused.__set_errorKind(errorResponse(kind).name);
    wire::Body body;
    body.__set_dispatchRefused(refused);
    m_links.send(origin.link, body);
    m_core.record("endpoint", std::string("attempt refused, not run: ") + errorResponse(kind).name, attempt.toString(), dispatch.account);
}

std::size_t EndpointRole::cachedPrefix(const std::vector<std::int64_t> &blocks) const
{
    const std::vector<std::uint64_t> chain(blocks.begin(), blocks.end());
    return cachedOrExpectedPrefix(m_engine->index(), m_expectedBlocks, chain, Loop::now());
}

std::int64_t EndpointRole::uncachedTokens(const wire::Dispatch &dispatch) const
{
    if (m_engine == nullptr) {
        return 0;
    }
    const double pieceTokens = static_cast<double>(m_core.settings().pieceBytes) / m_core.settings().bytesPerToken;
    const double cached = static_cast<double>(cachedPrefix(dispatch.blocks)) * pieceTokens;
    return std::max<std::int64_t>(dispatch.promptTokens - static_cast<std::int64_t>(cached), 0);
}

std::shared_ptr<EndpointJob> EndpointRole::makeJob(const MessageOrigin &origin, const wire::Dispatch &dispatch)
{
    if (m_engine == nullptr) {
        return std::make_shared<ServiceJob>(m_core, m_links, origin.link, dispatch, parseSocketAddress(m_core.settings().service));
    }
    const ModelJob::CrashHandler onCrash = [this](const wire::Dispatch &crashed) {
        reportCrash(crashed);
    };
    // Crash reports identify the engine incarnation that ran the request, even if the sender did not know it.
    wire::Dispatch localDispatch = dispatch;
    localDispatch.__set_engineIncarnation(m_engine->index().incarnation());
    return std::make_shared<ModelJob>(m_core, m_links, origin.link, localDispatch, parseSocketAddress(m_core.settings().engine),
                                      uncachedTokens(dispatch), firstIndexOf(dispatch), onCrash);
}

void EndpointRole::startQueuedJobs()
{
    while (m_running.size() < m_core.settings().maxRunning) {
        const std::optional<FairQueue::Item> item = m_queue.pop();
        if (!item.has_value()) {
            return;
        }
        const auto found = m_queued.find(item->attempt);
        if (found == m_queued.end()) {
            continue;
        }
        const std::shared_ptr<EndpointJob> job = found->second;
        m_queued.erase(found);
        // The configuration or the engine may have changed while the request was queued, so it is checked again.
        const std::optional<ErrorKind> error = validateDispatch(job->dispatch());
        if (error.has_value() && *error != ErrorKind::EndpointLeaving && *error != ErrorKind::Overloaded) {
            refuse(MessageOrigin{job->link(), std::string(), 0}, job->dispatch(), *error);
            continue;
        }
        m_running[item->attempt] = job;
        job->onFinished([this]() {
            scheduleJobRemoval();
        });
        m_runStarts[item->attempt] = Loop::now();
        job->start();
    }
}

void EndpointRole::cancel(AttemptId attempt)
{
    if (m_queued.erase(attempt) > 0) {
        m_queue.remove(attempt);
        return;
    }
    const auto found = m_running.find(attempt);
    if (found != m_running.end()) {
        found->second->cancel();
    }
}

void EndpointRole::handleLinkClosed(PeerNetwork::LinkId link)
{
    std::vector<AttemptId> affected;
    for (const std::map<AttemptId, std::shared_ptr<EndpointJob>> *jobs : {&m_queued, &m_running}) {
        for (const std::pair<const AttemptId, std::shared_ptr<EndpointJob>> &entry : *jobs) {
            if (entry.second->link() == link) {
                affected.push_back(entry.first);
            }
        }
    }
    for (const AttemptId attempt : affected) {
        cancel(attempt);
    }
}

void EndpointRole::reportCrash(const wire::Dispatch &dispatch)
{
    wire::SuspectReport report;
    report.__set_requestDigest(dispatch.requestDigest);
    report.__set_endpoint(m_core.settings().endpoint);
    report.__set_engineIncarnation(dispatch.engineIncarnation);
    wire::Body body;
    body.__set_suspectReport(report);
    for (const std::pair<const std::string, std::string> &daemon : m_config.state().daemons()) {
        m_links.sendTo(daemon.second, body);
    }
    m_core.record("endpoint", "engine connection ended before the response was complete", std::string(), dispatch.account);
}

void EndpointRole::scheduleJobRemoval()
{
    if (m_isJobRemovalScheduled) {
        return;
    }
    m_isJobRemovalScheduled = true;
    // Deferred, because the finished job is still on the call stack.
    m_core.timers().subscribeOnce(Duration::zero(), [this](TimePoint) {
        removeFinishedJobs();
    });
}

void EndpointRole::removeFinishedJobs()
{
    m_isJobRemovalScheduled = false;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (!it->second->isFinished()) {
            ++it;
            continue;
        }
        updateMeanRunTime(it->first);
        it = m_running.erase(it);
    }
    startQueuedJobs();
}

void EndpointRole::applySettings(const Settings &)
{
    // Settings of this role take effect at startup only.
}

void EndpointRole::beginStop()
{
    m_isStopping = true;
    m_core.record("endpoint", "stopping: new dispatches are refused");
}

bool EndpointRole::isIdle() const
{
    return m_queued.empty() && m_running.empty();
}

}
