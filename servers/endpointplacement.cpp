#include "servers/endpointplacement.h"

#include "core/hash.h"

#include <algorithm>
#include <limits>

namespace citronspar
{

EndpointPlacement::EndpointPlacement(Settings settings)
    : m_settings(settings)
{
}

void EndpointPlacement::setView(const std::string &id, const EngineView &view)
{
    m_engines[id].view = view;
}

bool EndpointPlacement::isCurrent(const EngineView &view, TimePoint now) const
{
    return view.toldAt != timeNever && now - view.toldAt < m_settings.viewLifetime;
}

bool EndpointPlacement::isUsable(const std::string &id, TimePoint now) const
{
    const auto found = m_engines.find(id);
    return found != m_engines.end() && isCurrent(found->second.view, now) && !isOut(found->second, now);
}

std::int64_t EndpointPlacement::versionOf(const Candidate &candidate, TimePoint now) const
{
    const auto found = m_engines.find(candidate.id);
    if (found == m_engines.end() || !isCurrent(found->second.view, now)) {
        return candidate.listedVersion;
    }
    return std::max(candidate.listedVersion, found->second.view.weightsVersion);
}

double EndpointPlacement::cost(const Engine &engine, const PlacedPrompt &prompt, bool isHome, bool hasOldWeights, TimePoint now) const
{
    double result = static_cast<double>(engine.pendingTokens) / m_settings.prefillTokensPerMs;
    result += engine.inFlight * m_settings.runningCostMs;
    if (isCurrent(engine.view, now)) {
        const std::int64_t others = std::max<std::int64_t>(0, engine.view.running + engine.view.waiting - engine.inFlight);
        const std::int64_t othersWaiting = std::max<std::int64_t>(0, engine.view.waiting - engine.pendingRequests);
        result += static_cast<double>(others) * m_settings.runningCostMs + static_cast<double>(othersWaiting) * m_settings.waitingCostMs;
    }
    if (!isHome) {
        result += static_cast<double>(prompt.sharedTokens) / m_settings.prefillTokensPerMs;
    }
    if (hasOldWeights) {
        result += m_settings.oldWeightsCostMs;
    }
    if (engine.failures > 0 && now - engine.lastFailure < m_settings.failureMemory) {
        result += engine.failures * m_settings.failureCostMs;
    }
    return result;
}

bool EndpointPlacement::isOut(const Engine &engine, TimePoint now) const
{
    return isCurrent(engine.view, now) && (engine.view.isLoading || !engine.view.isAnswering);
}

EndpointPlacement::KeepersByVersion EndpointPlacement::rankKeepers(std::uint64_t prefixHash, const std::vector<Candidate> &candidates,
                                                                   TimePoint now) const
{
    KeepersByVersion keepers;
    if (prefixHash == 0) {
        return keepers;
    }
    for (const Candidate &candidate : candidates) {
        const auto found = m_engines.find(candidate.id);
        if (found != m_engines.end() && isOut(found->second, now)) {
            continue;
        }
        Keepers &ranked = keepers[versionOf(candidate, now)];
        const Ranked entry{&candidate, hashBytes(candidate.id, prefixHash)};
        if (ranked.first.candidate == nullptr || entry.weight > ranked.first.weight) {
            ranked.second = ranked.first;
            ranked.first = entry;
        } else if (ranked.second.candidate == nullptr || entry.weight > ranked.second.weight) {
            ranked.second = entry;
        }
    }
    return keepers;
}

std::string EndpointPlacement::keeperBeside(const Choice &choice, const KeepersByVersion &keepers)
{
    const auto ranked = keepers.find(choice.weightsVersion);
    if (ranked == keepers.end() || ranked->second.first.candidate == nullptr) {
        return std::string();
    }
    const bool isFirst = ranked->second.first.candidate->id == choice.id;
    const Candidate *keeper = isFirst ? ranked->second.second.candidate : ranked->second.first.candidate;
    return keeper == nullptr ? std::string() : keeper->id;
}

std::optional<EndpointPlacement::Choice> EndpointPlacement::choose(const PlacedPrompt &prompt, const std::vector<Candidate> &candidates,
                                                                   std::int64_t wantedVersion, bool refusesOld,
                                                                   const std::vector<std::string> &excluded, TimePoint now) const
{
    static const Engine unknown;
    const KeepersByVersion keepers = rankKeepers(prompt.sharedHash, candidates, now);
    std::optional<Choice> best;
    double bestCost = std::numeric_limits<double>::max();
    std::uint64_t bestWeight = 0;
    for (const Candidate &candidate : candidates) {
        const auto found = m_engines.find(candidate.id);
        const Engine &engine = found == m_engines.end() ? unknown : found->second;
        const std::int64_t version = versionOf(candidate, now);
        const bool isOld = version < wantedVersion;
        if (isOut(engine, now) || (isOld && refusesOld) || now < engine.avoidUntil
            || std::find(excluded.begin(), excluded.end(), candidate.id) != excluded.end()) {
            continue;
        }
        const auto ranked = keepers.find(version);
        const bool isHome = ranked != keepers.end() && ranked->second.first.candidate == &candidate;
        const double candidateCost = cost(engine, prompt, isHome, isOld, now);
        const std::uint64_t weight = hashBytes(candidate.id, prompt.sharedHash);
        if (!best.has_value() || candidateCost < bestCost || (candidateCost == bestCost && weight > bestWeight)) {
            best = Choice{candidate.id, version, isHome, std::string(), std::string(), candidateCost};
            bestCost = candidateCost;
            bestWeight = weight;
        }
    }
    if (best.has_value()) {
        best->likelyKeeper = keeperBeside(*best, keepers);
        best->templateKeeper = keeperBeside(*best, rankKeepers(prompt.templateHash, candidates, now));
    }
    return best;
}

void EndpointPlacement::noteSent(const std::string &id, std::int64_t tokens)
{
    Engine &engine = m_engines[id];
    ++engine.inFlight;
    ++engine.pendingRequests;
    engine.pendingTokens += tokens;
}

void EndpointPlacement::noteFirstToken(const std::string &id, std::int64_t tokens)
{
    Engine &engine = m_engines[id];
    engine.pendingRequests = std::max(0, engine.pendingRequests - 1);
    engine.pendingTokens = std::max<std::int64_t>(0, engine.pendingTokens - tokens);
}

void EndpointPlacement::noteEnd(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.inFlight = std::max(0, engine.inFlight - 1);
}

void EndpointPlacement::noteFailure(const std::string &id, TimePoint now)
{
    Engine &engine = m_engines[id];
    if (now - engine.lastFailure > m_settings.failureMemory && engine.lastFailure != timeNever) {
        engine.failures = 0;
    }
    ++engine.failures;
    engine.lastFailure = now;
}

void EndpointPlacement::noteSuccess(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.failures = std::max(0, engine.failures - 1);
}

void EndpointPlacement::avoid(const std::string &id, TimePoint now, Duration time)
{
    m_engines[id].avoidUntil = now + time;
}

int EndpointPlacement::inFlight(const std::string &id) const
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? 0 : found->second.inFlight;
}

void EndpointPlacement::forget(const std::string &id)
{
    m_engines.erase(id);
}

}
