#include "servers/endpointplacement.h"

#include "core/hash.h"

#include <algorithm>
#include <limits>

namespace citronspar
{

namespace
{

constexpr double millisecondsPerSecond = 1000;

}

EndpointPlacement::EndpointPlacement(Settings settings)
    : m_settings(settings)
    , m_pausePrediction(settings.pauses)
{
}

void EndpointPlacement::setView(const std::string &id, const EngineView &view)
{
    m_engines[id].view = view;
}

bool EndpointPlacement::isCurrent(const EngineView &view, TimePoint now) const
{
    return view.reportedAt != timeNever && now - view.reportedAt < m_settings.viewLifetime;
}

bool EndpointPlacement::isUsable(const std::string &id, TimePoint now) const
{
    const auto found = m_engines.find(id);
    return found != m_engines.end() && isCurrent(found->second.view, now) && !isUnavailable(found->second, now);
}

std::int64_t EndpointPlacement::versionOf(const Candidate &candidate, TimePoint now) const
{
    const auto found = m_engines.find(candidate.id);
    if (found == m_engines.end() || !isCurrent(found->second.view, now)) {
        return candidate.listedVersion;
    }
    return std::max(candidate.listedVersion, found->second.view.weightsVersion);
}

bool EndpointPlacement::isProbeCurrent(const Engine &engine, TimePoint now) const
{
    return engine.probedAt != timeNever && now - engine.probedAt < m_settings.probeLifetime;
}

double EndpointPlacement::prefillRate(const Engine &engine, const Query &query, TimePoint now) const
{
    double rate = 0;
    if (query.gapTarget > Duration::zero()) {
        if (isProbeCurrent(engine, now)) {
            rate = engine.probedTokensPerMs;
        }
        if (rate <= 0 && isCurrent(engine.view, now)) {
            rate = engine.view.prefillTokensPerMs;
        }
    }
    return rate > 0 ? std::clamp(rate, m_settings.minPrefillTokensPerMs, m_settings.maxPrefillTokensPerMs) : m_settings.prefillTokensPerMs;
}

bool EndpointPlacement::isBefore(int first, int second)
{
    return first < 0 || second < 0 || first <= second;
}

std::int64_t EndpointPlacement::pendingTokensBefore(const Engine &engine, int priority)
{
    std::int64_t result = 0;
    for (const std::pair<const int, std::int64_t> &pending : engine.pendingTokens) {
        result += isBefore(pending.first, priority) ? pending.second : 0;
    }
    return result;
}

const EndpointPlacement::Probed *EndpointPlacement::findProbed(const Engine &engine, int priority, TimePoint now) const
{
    const Probed *newest = nullptr;
    for (const std::pair<const int, Probed> &probed : engine.probed) {
        if (now - probed.second.answeredAt >= m_settings.probeLifetime) {
            continue;
        }
        if (probed.first == priority) {
            return &probed.second;
        }
        if (newest == nullptr || probed.second.answeredAt > newest->answeredAt) {
            newest = &probed.second;
        }
    }
    return newest;
}

double EndpointPlacement::waitingTokens(const Engine &engine, int priority, TimePoint now) const
{
    const std::int64_t pendingTokens = pendingTokensBefore(engine, priority);
    const Probed *probed = findProbed(engine, priority, now);
    if (probed != nullptr) {
        return static_cast<double>(std::max(probed->tokens, pendingTokens));
    }
    double result = static_cast<double>(pendingTokens);
    if (isCurrent(engine.view, now)) {
        const std::int64_t othersWaiting = std::max<std::int64_t>(0, engine.view.waiting - engine.pendingRequests);
        // The cost of a waiting request is set for engines of unknown throughput.
        result += static_cast<double>(othersWaiting) * m_settings.waitingCostMs * m_settings.prefillTokensPerMs;
    }
    return result;
}

double EndpointPlacement::pauseCost(const Engine &engine, double rate, std::int64_t tokens, const Query &query, TimePoint now) const
{
    PausePrediction::Load load;
    load.waitingTokens = static_cast<std::int64_t>(waitingTokens(engine, query.priority, now));
    load.runningStreams = std::max(0, engine.inFlight - engine.pendingRequests);
    if (isCurrent(engine.view, now)) {
        load.runningStreams = std::max(load.runningStreams, engine.view.generating);
    }
    load.prefillTokensPerMs = rate;
    return m_pausePrediction.costMs(tokens, load, PausePrediction::Objective{query.gapTarget, query.tokensPerEvent});
}

std::int64_t EndpointPlacement::missingTokens(const PlacedPrompt &prompt, const EngineLoad *load, bool isHome)
{
    if (load == nullptr) {
        return isHome ? 0 : prompt.sharedTokens;
    }
    if (load->knownPrefixes == 0) {
        return prompt.sharedTokens;
    }
    return load->knownPrefixes == 1 ? prompt.sharedTokens - prompt.templateTokens : 0;
}

double EndpointPlacement::cost(const Engine &engine, double rate, std::int64_t missingTokens, bool hasOldWeights, int priority,
                               TimePoint now) const
{
    double result = waitingTokens(engine, priority, now) / rate;
    result += engine.inFlight * m_settings.runningCostMs;
    if (isCurrent(engine.view, now)) {
        const std::int64_t others = std::max<std::int64_t>(0, engine.view.running + engine.view.waiting - engine.inFlight);
        result += static_cast<double>(others) * m_settings.runningCostMs;
    }
    result += static_cast<double>(missingTokens) / rate;
    if (hasOldWeights) {
        result += m_settings.oldWeightsCostMs;
    }
    if (engine.failures > 0 && now - engine.lastFailure < m_settings.failureLifetime) {
        result += engine.failures * m_settings.failureCostMs;
    }
    return result;
}

bool EndpointPlacement::isUnavailable(const Engine &engine, TimePoint now) const
{
    return isCurrent(engine.view, now) && (engine.view.isLoading || !engine.view.isAnswering);
}

EndpointPlacement::TopRankedByVersion EndpointPlacement::rankByHash(std::uint64_t prefixHash, const std::vector<Candidate> &candidates,
                                                                    TimePoint now) const
{
    TopRankedByVersion topRanked;
    if (prefixHash == 0) {
        return topRanked;
    }
    for (const Candidate &candidate : candidates) {
        const auto found = m_engines.find(candidate.id);
        if (found != m_engines.end() && isUnavailable(found->second, now)) {
            continue;
        }
        TopRanked &ranked = topRanked[versionOf(candidate, now)];
        const Ranked entry{&candidate, hashBytes(candidate.id, prefixHash)};
        if (ranked.first.candidate == nullptr || entry.weight > ranked.first.weight) {
            ranked.second = ranked.first;
            ranked.first = entry;
        } else if (ranked.second.candidate == nullptr || entry.weight > ranked.second.weight) {
            ranked.second = entry;
        }
    }
    return topRanked;
}

std::string EndpointPlacement::highestRankedExcept(const Choice &choice, const TopRankedByVersion &topRanked)
{
    const auto ranked = topRanked.find(choice.weightsVersion);
    if (ranked == topRanked.end() || ranked->second.first.candidate == nullptr) {
        return std::string();
    }
    const bool isFirst = ranked->second.first.candidate->id == choice.id;
    const Candidate *source = isFirst ? ranked->second.second.candidate : ranked->second.first.candidate;
    return source == nullptr ? std::string() : source->id;
}

std::vector<EndpointPlacement::Choice> EndpointPlacement::rank(const Query &query, std::size_t count, TimePoint now) const
{
    static const Engine unknown;
    const PlacedPrompt &prompt = query.prompt;
    const TopRankedByVersion topRanked = rankByHash(prompt.sharedHash, query.candidates, now);
    /** A choice with its rendezvous weight, which breaks ties between equal costs. */
    using Weighted = std::pair<std::uint64_t, Choice>;
    std::vector<Weighted> usable;
    for (const Candidate &candidate : query.candidates) {
        const auto found = m_engines.find(candidate.id);
        const Engine &engine = found == m_engines.end() ? unknown : found->second;
        const std::int64_t version = versionOf(candidate, now);
        const WeightsVersion *successor = query.weights.successorOf(version);
        if (isUnavailable(engine, now) || now < engine.avoidUntil
            || std::find(query.excluded.begin(), query.excluded.end(), candidate.id) != query.excluded.end()) {
            continue;
        }
        const auto ranked = topRanked.find(version);
        const auto load = query.loads.find(candidate.id);
        Choice choice;
        choice.id = candidate.id;
        choice.weightsVersion = version;
        choice.isHome = ranked != topRanked.end() && ranked->second.first.candidate == &candidate;
        const std::int64_t missing = missingTokens(prompt, load == query.loads.end() ? nullptr : &load->second, choice.isHome);
        choice.knownPrefixes = load == query.loads.end() ? -1 : load->second.knownPrefixes;
        // Later requests will look for the prefix at its home engine.
        const double preference = choice.isHome ? m_settings.homePreference : 0;
        const double rate = prefillRate(engine, query, now);
        choice.costMs = cost(engine, rate, missing, successor != nullptr, query.priority, now);
        if (query.gapTarget > Duration::zero()) {
            // At engines of one speed the own tokens do not matter to the ranking.
            choice.costMs += static_cast<double>(prompt.ownTokens) / rate;
        }
        const Duration predicted = fromSeconds(choice.costMs / millisecondsPerSecond);
        if (successor != nullptr && !WeightsCutoff(*successor, query.weightsLimit).admits(predicted, now)) {
            continue;
        }
        choice.rankCostMs = choice.costMs - preference * static_cast<double>(missing) / rate;
        if (query.gapTarget > Duration::zero() && query.tokensPerEvent > 0) {
            choice.pauseCostMs = pauseCost(engine, rate, prompt.ownTokens + missing, query, now);
            choice.rankCostMs += choice.pauseCostMs;
            choice.isBeyondTarget
                = query.targetLatency > Duration::zero() && fromSeconds(choice.costMs / millisecondsPerSecond) > query.targetLatency;
        }
        usable.emplace_back(hashBytes(candidate.id, prompt.sharedHash), choice);
    }
    const std::size_t resultCount = std::min(count, usable.size());
    std::partial_sort(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(resultCount), usable.end(),
                      [](const Weighted &first, const Weighted &second) {
                          if (first.second.isBeyondTarget != second.second.isBeyondTarget) {
                              return second.second.isBeyondTarget;
                          }
                          const double firstCost = first.second.rankCostMs;
                          const double secondCost = second.second.rankCostMs;
                          return firstCost != secondCost ? firstCost < secondCost : first.first > second.first;
                      });
    std::vector<Choice> best;
    for (std::size_t i = 0; i < resultCount; ++i) {
        best.push_back(usable[i].second);
    }
    if (!best.empty()) {
        best.front().likelySource = highestRankedExcept(best.front(), topRanked);
        best.front().templateSource = highestRankedExcept(best.front(), rankByHash(prompt.templateHash, query.candidates, now));
        preferKnownSource(best.front(), query, now);
        setDirectory(best.front(), query);
    }
    return best;
}

void EndpointPlacement::setDirectory(Choice &choice, const Query &query)
{
    if (query.prompt.sharedHash == 0) {
        return;
    }
    std::uint64_t highestWeight = 0;
    for (const Candidate &candidate : query.candidates) {
        const std::uint64_t weight = hashBytes(candidate.id, query.prompt.sharedHash);
        if (choice.directoryEngine.empty() || weight > highestWeight) {
            choice.directoryEngine = candidate.id;
            highestWeight = weight;
        }
    }
    const auto load = query.loads.find(choice.directoryEngine);
    if (load != query.loads.end()) {
        choice.record = load->second.record;
        choice.isRecordKnown = true;
    }
}

void EndpointPlacement::preferKnownSource(Choice &choice, const Query &query, TimePoint now) const
{
    const auto sourceLoad = query.loads.find(choice.likelySource);
    choice.sourcePrefixes = sourceLoad == query.loads.end() ? -1 : sourceLoad->second.knownPrefixes;
    int mostPrefixes = std::max({choice.knownPrefixes, choice.sourcePrefixes, 0});
    for (const Candidate &candidate : query.candidates) {
        const auto load = query.loads.find(candidate.id);
        if (candidate.id != choice.id && load != query.loads.end() && load->second.knownPrefixes > mostPrefixes
            && versionOf(candidate, now) == choice.weightsVersion) {
            mostPrefixes = load->second.knownPrefixes;
            choice.likelySource = candidate.id;
            choice.sourcePrefixes = mostPrefixes;
        }
    }
}

std::optional<EndpointPlacement::Choice> EndpointPlacement::choose(const Query &query, TimePoint now) const
{
    const std::vector<Choice> best = rank(query, 1, now);
    return best.empty() ? std::nullopt : std::optional<Choice>(best.front());
}

void EndpointPlacement::recordProbeAnswer(const std::string &id, const EngineLoad &load, TimePoint now, int priority)
{
    Engine &engine = m_engines[id];
    engine.probed[priority] = Probed{load.pendingTokens, now};
    engine.probedAt = now;
    engine.probedTokensPerMs = load.prefillTokensPerMs;
}

void EndpointPlacement::recordSent(const std::string &id, std::int64_t tokens, int priority)
{
    Engine &engine = m_engines[id];
    ++engine.inFlight;
    ++engine.pendingRequests;
    engine.pendingTokens[priority] += tokens;
    for (std::pair<const int, Probed> &probed : engine.probed) {
        probed.second.tokens += isBefore(priority, probed.first) ? tokens : 0;
    }
}

void EndpointPlacement::recordFirstToken(const std::string &id, std::int64_t tokens, int priority)
{
    Engine &engine = m_engines[id];
    engine.pendingRequests = std::max(0, engine.pendingRequests - 1);
    std::int64_t &pendingTokens = engine.pendingTokens[priority];
    pendingTokens = std::max<std::int64_t>(0, pendingTokens - tokens);
    for (std::pair<const int, Probed> &probed : engine.probed) {
        if (isBefore(priority, probed.first)) {
            probed.second.tokens = std::max<std::int64_t>(0, probed.second.tokens - tokens);
        }
    }
}

void EndpointPlacement::recordEnd(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.inFlight = std::max(0, engine.inFlight - 1);
}

void EndpointPlacement::recordFailure(const std::string &id, TimePoint now)
{
    Engine &engine = m_engines[id];
    if (now - engine.lastFailure > m_settings.failureLifetime && engine.lastFailure != timeNever) {
        engine.failures = 0;
    }
    ++engine.failures;
    engine.lastFailure = now;
}

void EndpointPlacement::recordSuccess(const std::string &id)
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

void EndpointPlacement::remove(const std::string &id)
{
    m_engines.erase(id);
}

}
