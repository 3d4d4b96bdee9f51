#include "main/proxy/endpointsearch.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

// Number of engines probed in parallel per round, and the maximum number of rounds. No further round is needed
// once the best ranked engine has answered.
constexpr std::size_t probedEngines = 4;
constexpr int maxProbeRounds = 3;

// Shorter prefixes are prefilled before a transfer would start, so it does not matter where they are cached.
constexpr std::int64_t minRecordedTokens = 1000;

constexpr std::uint64_t saltSeed = 0x9e37;
constexpr std::uint64_t canarySeed = 0xca4a;

}

EndpointSearch::EndpointSearch(ProxyServices &services, Criteria criteria)
    : m_services(services)
    , m_criteria(std::move(criteria))
{
}

EndpointSearch::~EndpointSearch()
{
    cancel();
}

EndpointPlacement &EndpointSearch::placement() const
{
    return m_criteria.isEngineService ? m_services.enginePlacement : m_services.plainPlacement;
}

void EndpointSearch::start(const std::vector<std::string> &excluded, Handler handler)
{
    m_excluded = excluded;
    m_handler = std::move(handler);
    m_loads.clear();
    m_probeRounds = 0;
    search();
}

void EndpointSearch::cancel()
{
    m_services.engineProbes.cancel(m_probeQuery);
    m_probeQuery = 0;
}

void EndpointSearch::requireVersion(const std::string &softwareVersion)
{
    m_softwareVersion = softwareVersion;
}

const std::optional<std::string> &EndpointSearch::requiredVersion() const
{
    return m_softwareVersion;
}

void EndpointSearch::setVersionAccess(const VersionAccess::Access &access)
{
    m_versionAccess = access;
    m_canaryEndpoints.clear();
    if (!access.required.has_value() || access.canaryEndpoints <= 0) {
        return;
    }
    // All entry daemons use the same endpoints, so that these run under load although the share is small.
    std::set<std::pair<std::uint64_t, std::string>> ranked;
    for (const ListedEndpoint *endpoint : m_services.endpointFeed.directory().available(m_criteria.service)) {
        if (endpoint->softwareVersion == *access.required) {
            ranked.emplace(hashBytes(endpoint->id, hashBytes(m_criteria.service, canarySeed)), endpoint->id);
        }
    }
    for (const std::pair<std::uint64_t, std::string> &endpoint : ranked) {
        if (m_canaryEndpoints.size() < static_cast<std::size_t>(access.canaryEndpoints)) {
            m_canaryEndpoints.insert(endpoint.second);
        }
    }
}

bool EndpointSearch::isOfVersion(const ListedEndpoint &endpoint) const
{
    const std::string &version = endpoint.softwareVersion;
    const bool isRequired = version == m_softwareVersion.value_or(version) && version == m_versionAccess.required.value_or(version);
    return isRequired && m_versionAccess.excluded.count(version) == 0
        && (m_canaryEndpoints.empty() || m_canaryEndpoints.count(endpoint.id) > 0);
}

bool EndpointSearch::isCandidate(const ListedEndpoint &endpoint) const
{
    if (!isOfVersion(endpoint)) {
        return false;
    }
    const EndpointSignals &endpointSignals = m_services.endpointSignals;
    return endpointSignals.isEmpty()
        || endpointSignals.isAvailable(startName(EndpointStart{endpoint.id, endpoint.address, endpoint.startedMs}), Loop::now());
}

std::optional<Duration> EndpointSearch::shortestWait() const
{
    std::optional<Duration> shortest;
    if (m_services.endpointSignals.isEmpty()) {
        return shortest;
    }
    for (const ListedEndpoint *endpoint : m_services.endpointFeed.directory().available(m_criteria.service)) {
        const std::string start = startName(EndpointStart{endpoint->id, endpoint->address, endpoint->startedMs});
        const std::optional<Duration> wait = m_services.endpointSignals.remainingWait(start, Loop::now());
        if (wait.has_value() && isOfVersion(*endpoint)) {
            shortest = std::min(shortest.value_or(*wait), *wait);
        }
    }
    return shortest;
}

std::vector<EndpointPlacement::Choice> EndpointSearch::rank() const
{
    const TimePoint now = Loop::now();
    std::vector<EndpointPlacement::Candidate> candidates;
    for (const ListedEndpoint *endpoint : m_services.endpointFeed.directory().available(m_criteria.service)) {
        if (isCandidate(*endpoint)) {
            candidates.push_back(EndpointPlacement::Candidate{endpoint->id, endpoint->weightsVersion});
        }
    }
    EndpointPlacement::Query query{m_criteria.prompt, candidates, weightsHistory(), m_services.weightsDeadline, m_excluded, m_loads};
    query.gapTarget = m_criteria.gapTarget;
    query.tokensPerEvent = m_criteria.tokensPerEvent;
    query.targetLatency = m_criteria.targetLatency;
    query.priority = m_criteria.priority;
    return placement().rank(query, probedEngines, now);
}

const WeightsHistory &EndpointSearch::weightsHistory() const
{
    static const WeightsHistory none;
    if (!m_criteria.isEngineService) {
        return none;
    }
    std::string model = m_criteria.model;
    if (model.empty()) {
        for (const ListedEndpoint *endpoint : m_services.endpointFeed.directory().available(m_criteria.service)) {
            model = endpoint->model.empty() ? model : endpoint->model;
        }
    }
    return m_services.operatorFeed.weights(model);
}

std::optional<WeightsCutoff> EndpointSearch::weightsCutoff(std::int64_t version) const
{
    const WeightsVersion *successor = weightsHistory().successorOf(version);
    return successor == nullptr ? std::nullopt : std::optional<WeightsCutoff>(WeightsCutoff(*successor, m_services.weightsDeadline));
}

void EndpointSearch::search()
{
    const std::vector<EndpointPlacement::Choice> ranked = rank();
    const bool isLoadKnown = ranked.empty() || m_loads.count(ranked.front().id) > 0;
    if (m_criteria.isEngineService && !isLoadKnown && m_probeRounds < maxProbeRounds) {
        probe(ranked);
        return;
    }
    // The handler may end the request and thereby destroy this object, so it is moved to a local first.
    const Handler handler = std::move(m_handler);
    handler(ranked.empty() ? std::nullopt : std::optional<EndpointPlacement::Choice>(ranked.front()));
}

void EndpointSearch::probe(const std::vector<EndpointPlacement::Choice> &ranked)
{
    ++m_probeRounds;
    std::vector<EngineProbes::Target> targets;
    for (const EndpointPlacement::Choice &choice : ranked) {
        addProbeTarget(choice.id, choice.weightsVersion, targets);
    }
    const EndpointPlacement::Choice &best = ranked.front();
    const bool isDirectoryRanked = std::any_of(ranked.begin(), ranked.end(), [&](const EndpointPlacement::Choice &choice) {
        return choice.id == best.directoryEngine;
    });
    if (isPrefixRecorded() && !isDirectoryRanked) {
        addProbeTarget(best.directoryEngine, best.weightsVersion, targets);
    }
    m_probeQuery = m_services.engineProbes.query(targets, [this](const EndpointPlacement::LoadById &loads) {
        m_probeQuery = 0;
        for (const std::pair<const std::string, EndpointPlacement::EngineLoad> &load : loads) {
            m_loads.insert(load);
            placement().recordProbeAnswer(load.first, load.second, Loop::now(), m_criteria.priority);
        }
        search();
    });
}

bool EndpointSearch::isPrefixRecorded() const
{
    return m_criteria.isEngineService && m_criteria.prompt.sharedTokens >= minRecordedTokens;
}

std::string EndpointSearch::daemonAddress(const std::string &engine) const
{
    const ListedEndpoint *endpoint = m_services.endpointFeed.directory().find(engine);
    return endpoint == nullptr ? std::string() : m_services.engineLinks.daemonAddress(*endpoint);
}

void EndpointSearch::addProbeTarget(const std::string &engine, std::int64_t weightsVersion,
                                    std::vector<EngineProbes::Target> &targets) const
{
    const std::string address = daemonAddress(engine);
    if (!address.empty() && m_loads.count(engine) == 0) {
        targets.push_back(EngineProbes::Target{engine, address, saltedPrefixes(weightsVersion), m_criteria.priority});
    }
}

void EndpointSearch::recordSent(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, const TransferPlan &transfers)
{
    const PlacedPrompt &prompt = m_criteria.prompt;
    placement().recordSent(choice.id, prompt.ownTokens, m_criteria.priority);
    if (!m_criteria.isEngineService) {
        return;
    }
    const auto load = m_loads.find(choice.id);
    const std::int64_t missingTokens
        = EndpointPlacement::missingTokens(prompt, load == m_loads.end() ? nullptr : &load->second, choice.isHome);
    const std::int64_t fetchedTokens = std::min(missingTokens, transfers.expectedTokens);
    const EngineProbes::Prefixes prefixes = saltedPrefixes(choice.weightsVersion);
    m_reportedPrompt = m_services.engineProbes.reportPromptSent(
        m_services.engineLinks.daemonAddress(endpoint), prompt.ownTokens + missingTokens - fetchedTokens, prefixes, m_criteria.priority);
    m_saltedPrefix = prefixes.back();
    const std::string directoryAddress = isPrefixRecorded() ? daemonAddress(choice.directoryEngine) : std::string();
    if (!directoryAddress.empty() && !transfers.saveToStore.empty()) {
        m_services.engineProbes.reportSaved(directoryAddress, m_saltedPrefix);
    }
    m_directoryAddress = choice.directoryEngine == choice.id ? std::string() : directoryAddress;
}

void EndpointSearch::recordPromptDone(const std::string &endpoint, bool isPrefilled)
{
    placement().recordFirstToken(endpoint, m_criteria.prompt.ownTokens, m_criteria.priority);
    m_services.engineProbes.reportPromptDone(m_reportedPrompt, isPrefilled);
    if (isPrefilled && !m_directoryAddress.empty()) {
        m_services.engineProbes.reportCached(m_directoryAddress, m_saltedPrefix, endpoint);
    }
}

std::string EndpointSearch::cacheSalt(std::int64_t weightsVersion) const
{
    const std::string salt = "w" + std::to_string(weightsVersion);
    return m_criteria.isolatedAccount.empty() ? salt : salt + "-" + m_criteria.isolatedAccount;
}

EngineProbes::Prefixes EndpointSearch::saltedPrefixes(std::int64_t weightsVersion) const
{
    const std::uint64_t salt = hashBytes(cacheSalt(weightsVersion), saltSeed);
    EngineProbes::Prefixes prefixes;
    for (const std::uint64_t prefix : {m_criteria.prompt.templateHash, m_criteria.prompt.sharedHash}) {
        prefixes.push_back(static_cast<std::int64_t>(hashCombine(prefix, salt)));
    }
    return prefixes;
}

}
