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
    Round round;
    round.state = m_config.sharedState();
    round.request.affinity = affinityHash(query.chain);
    round.request.promptTokens = query.chain.promptTokens;
    round.requiredWeights = query.weights;
    round.handler = std::move(handler);
    for (const Endpoint *endpoint : round.state->endpointsOfPool(query.pool)) {
        EndpointView view;
        view.idHash = hashBytes(endpoint->id, 0);
        view.reportedTokens = m_endpointStatus[endpoint->id].queuedTokens;
        const bool hasWeights = query.weights.empty() || endpoint->weights == query.weights;
        view.canTakeWork = hasWeights && query.excluded.count(endpoint->id) == 0 && !hasFailedRecently(endpoint->id);
        round.endpoints.push_back(endpoint);
        round.views.push_back(view);
    }
    round.account = query.account;
    round.blocks.assign(query.chain.blocks.begin(), query.chain.blocks.end());
    const std::int64_t id = m_core.nextId().counter;
    m_rounds[id] = std::move(round);
    probeNext(id);
}

void ProbeService::probeNext(std::int64_t id)
{
    Round &round = m_rounds.at(id);
    m_core.timers().unsubscribe(round.timer);
    const std::vector<std::size_t> nextEndpoints
        = m_strategy->nextProbes(round.request, round.views, round.probed, round.results, m_random);
    if (nextEndpoints.empty()) {
        finish(id);
        return;
    }
    wire::Probe probe;
    probe.__set_probeId(id);
    probe.__set_account(round.account);
    probe.__set_blocks(round.blocks);
    wire::Body body;
    body.__set_probe(probe);
    for (const std::size_t endpoint : nextEndpoints) {
        round.probed.push_back(endpoint);
        m_links.sendTo(round.endpoints[endpoint]->address, body);
    }
    round.timer = m_core.timers().subscribeOnce(probeTimeout, [this, id](TimePoint) {
        probeNext(id);
    });
}

void ProbeService::handleProbeAnswer(const MessageOrigin &origin, const wire::ProbeAnswer &answer)
{
    const auto found = m_rounds.find(answer.probeId);
    if (found == m_rounds.end()) {
        return;
    }
    Round &round = found->second;
    for (const std::size_t candidate : round.probed) {
        if (round.endpoints[candidate]->id != origin.sender) {
            continue;
        }
        ProbeResult result;
        result.endpoint = candidate;
        result.queuedTokens = answer.queuedTokens;
        result.prefillTokensPerSecond = static_cast<double>(answer.prefillTokensPerSecond);
        const std::int64_t pieceTokens
            = static_cast<std::int64_t>(static_cast<double>(m_core.settings().pieceBytes) / m_core.settings().bytesPerToken);
        result.cachedTokens = answer.cachedBlocks * pieceTokens;
        const bool hasWeights = round.requiredWeights.empty() || round.requiredWeights == answer.weights;
        result.canTakeWork = !answer.isLeaving && hasWeights;
        round.results.push_back(result);
        round.answers.push_back(answer);
        m_endpointStatus[origin.sender].queuedTokens = answer.queuedTokens;
    }
    if (round.results.size() == round.probed.size()) {
        probeNext(answer.probeId);
    }
}

void ProbeService::finish(std::int64_t id)
{
    const auto found = m_rounds.find(id);
    if (found == m_rounds.end()) {
        return;
    }
    const Round round = std::move(found->second);
    m_rounds.erase(found);
    m_core.timers().unsubscribe(round.timer);
    const std::optional<std::size_t> chosen = m_strategy->choose(round.request, round.views, round.results);
    if (!chosen.has_value()) {
        round.handler(std::nullopt);
        return;
    }
    Placement placement;
    placement.endpoint = round.endpoints[*chosen]->id;
    placement.address = round.endpoints[*chosen]->address;
    placement.weights = round.endpoints[*chosen]->weights;
    for (std::size_t i = 0; i < round.results.size(); ++i) {
        if (round.results[i].endpoint == *chosen) {
            placement.engineIncarnation = round.answers[i].engineIncarnation;
            placement.weights = round.answers[i].weights;
        }
    }
    round.handler(placement);
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
