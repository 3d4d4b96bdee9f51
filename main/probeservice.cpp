#include "main/probeservice.h"

#include "core/hash.h"

#include <utility>

namespace citronspar
{

namespace
{

// A slower answer already shows that the endpoint is a poor choice, so it is not awaited.
constexpr Duration probeTimeout = std::chrono::milliseconds(15);
constexpr Duration failureCooldown = std::chrono::seconds(1);

}

ProbeService::ProbeService(DaemonCore &core, PeerLinks &links, ConfigService &config, std::unique_ptr<RoutingStrategy> strategy)
    : m_core(core)
    , m_links(links)
    , m_config(config)
    , m_strategy(std::move(strategy))
    , m_random(static_cast<std::uint64_t>(core.incarnation()))
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
}

void ProbeService::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.probeAnswer) {
        handleProbeAnswer(origin, body.probeAnswer);
    }
}

void ProbeService::findPlacement(const Query &query, PlacementHandler handler)
{
    PendingQuery pending;
    pending.state = m_config.sharedState();
    pending.request.affinity = affinityHash(query.chain);
    pending.request.promptTokens = query.chain.promptTokens;
    pending.requiredWeights = query.weights;
    pending.handler = std::move(handler);
    for (const Endpoint *endpoint : pending.state->endpointsOfPool(query.pool)) {
        EndpointView view;
        view.idHash = hashBytes(endpoint->id, 0);
        view.reportedTokens = m_endpointStatus[endpoint->id].queuedTokens;
        const bool hasWeights = query.weights.empty() || endpoint->weights == query.weights;
        view.canTakeWork = hasWeights && query.excluded.count(endpoint->id) == 0 && !hasFailedRecently(endpoint->id);
        pending.endpoints.push_back(endpoint);
        pending.views.push_back(view);
    }
    pending.account = query.account;
    pending.blocks.assign(query.chain.blocks.begin(), query.chain.blocks.end());
    const std::int64_t id = m_core.nextId().counter;
    m_pendingQueries[id] = std::move(pending);
    probeNext(id);
}

void ProbeService::probeNext(std::int64_t id)
{
    PendingQuery &pending = m_pendingQueries.at(id);
    m_core.timers().unsubscribe(pending.timer);
    const std::vector<std::size_t> nextEndpoints
        = m_strategy->nextProbes(pending.request, pending.views, pending.probed, pending.results, m_random);
    if (nextEndpoints.empty()) {
        finish(id);
        return;
    }
    wire::Probe probe;
    probe.__set_probeId(id);
    probe.__set_account(pending.account);
    probe.__set_blocks(pending.blocks);
    wire::Body body;
    body.__set_probe(probe);
    for (const std::size_t endpoint : nextEndpoints) {
        pending.probed.push_back(endpoint);
        m_links.sendTo(pending.endpoints[endpoint]->address, body);
    }
    pending.timer = m_core.timers().subscribeOnce(probeTimeout, [this, id](TimePoint) {
        probeNext(id);
    });
}

void ProbeService::handleProbeAnswer(const MessageOrigin &origin, const wire::ProbeAnswer &answer)
{
    const auto found = m_pendingQueries.find(answer.probeId);
    if (found == m_pendingQueries.end()) {
        return;
    }
    PendingQuery &pending = found->second;
    for (const std::size_t candidate : pending.probed) {
        if (pending.endpoints[candidate]->id != origin.sender) {
            continue;
        }
        ProbeResult result;
        result.endpoint = candidate;
        result.queuedTokens = answer.queuedTokens;
        result.prefillTokensPerSecond = static_cast<double>(answer.prefillTokensPerSecond);
        const std::int64_t pieceTokens
            = static_cast<std::int64_t>(static_cast<double>(m_core.settings().pieceBytes) / m_core.settings().bytesPerToken);
        result.cachedTokens = answer.cachedBlocks * pieceTokens;
        const bool hasWeights = pending.requiredWeights.empty() || pending.requiredWeights == answer.weights;
        result.canTakeWork = !answer.isLeaving && hasWeights;
        pending.results.push_back(result);
        pending.answers.push_back(answer);
        m_endpointStatus[origin.sender].queuedTokens = answer.queuedTokens;
    }
    if (pending.results.size() == pending.probed.size()) {
        probeNext(answer.probeId);
    }
}

void ProbeService::finish(std::int64_t id)
{
    const auto found = m_pendingQueries.find(id);
    if (found == m_pendingQueries.end()) {
        return;
    }
    const PendingQuery pending = std::move(found->second);
    m_pendingQueries.erase(found);
    m_core.timers().unsubscribe(pending.timer);
    const std::optional<std::size_t> chosen = m_strategy->choose(pending.request, pending.views, pending.results);
    if (!chosen.has_value()) {
        pending.handler(std::nullopt);
        return;
    }
    Placement placement;
    placement.endpoint = pending.endpoints[*chosen]->id;
    placement.address = pending.endpoints[*chosen]->address;
    placement.weights = pending.endpoints[*chosen]->weights;
    for (std::size_t i = 0; i < pending.results.size(); ++i) {
        if (pending.results[i].endpoint == *chosen) {
            placement.engineIncarnation = pending.answers[i].engineIncarnation;
            placement.weights = pending.answers[i].weights;
        }
    }
    pending.handler(placement);
}

void ProbeService::recordFailure(const std::string &endpoint)
{
    m_endpointStatus[endpoint].failedAt = Loop::now();
}

bool ProbeService::hasFailedRecently(const std::string &endpoint) const
{
    const auto found = m_endpointStatus.find(endpoint);
    return found != m_endpointStatus.end() && found->second.failedAt != timeNever && Loop::now() - found->second.failedAt < failureCooldown;
}

}
