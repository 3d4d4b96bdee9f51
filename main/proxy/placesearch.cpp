#include "main/proxy/placesearch.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

// Engines that are asked at once, and how often until the best one has answered.
constexpr std::size_t probedEngines = 4;
constexpr int maxRounds = 3;

// Requests start on old weights until this long before the deadline for new ones.
constexpr Duration weightsMargin = std::chrono::milliseconds(500);

constexpr std::uint64_t saltSeed = 0x9e37;

}

PlaceSearch::PlaceSearch(ProxyServices &services, Subject subject)
    : m_services(services)
    , m_subject(std::move(subject))
{
}

PlaceSearch::~PlaceSearch()
{
    cancel();
}

EndpointPlacement &PlaceSearch::placement() const
{
    return m_subject.isEngineService ? m_services.engines : m_services.plain;
}

void PlaceSearch::start(const std::vector<std::string> &excluded, Handler handler)
{
    m_excluded = excluded;
    m_handler = std::move(handler);
    m_loads.clear();
    m_rounds = 0;
    search();
}

void PlaceSearch::cancel()
{
    m_services.probes.cancel(m_question);
    m_question = 0;
}

std::vector<EndpointPlacement::Choice> PlaceSearch::rank() const
{
    const TimePoint now = Loop::now();
    std::vector<EndpointPlacement::Candidate> candidates;
    std::string listedModel;
    for (const ListedEndpoint *endpoint : m_services.endpoints.directory().available(m_subject.service)) {
        candidates.push_back(EndpointPlacement::Candidate{endpoint->id, endpoint->weightsVersion});
        listedModel = endpoint->model;
    }
    const OperatorFeed::NamedWeightsState named
        = m_services.operators.namedWeights(m_subject.model.empty() ? listedModel : m_subject.model);
    const bool refusesOld = named.version > 0 && now - named.learntAt > m_services.weightsDeadline - weightsMargin;
    const std::int64_t wantedVersion = m_subject.isEngineService ? named.version : 0;
    return placement().rank({m_subject.prompt, candidates, wantedVersion, refusesOld, m_excluded, m_loads}, probedEngines, now);
}

void PlaceSearch::search()
{
    const std::vector<EndpointPlacement::Choice> ranked = rank();
    const bool isKnown = ranked.empty() || m_loads.count(ranked.front().id) > 0;
    if (m_subject.isEngineService && !isKnown && m_rounds < maxRounds) {
        probe(ranked);
        return;
    }
    // The handler may end the request, and this search with it.
    const Handler handler = std::move(m_handler);
    handler(ranked.empty() ? std::nullopt : std::optional<EndpointPlacement::Choice>(ranked.front()));
}

void PlaceSearch::probe(const std::vector<EndpointPlacement::Choice> &ranked)
{
    ++m_rounds;
    std::vector<EngineProbes::Target> targets;
    for (const EndpointPlacement::Choice &choice : ranked) {
        const ListedEndpoint *endpoint = m_services.endpoints.directory().find(choice.id);
        if (endpoint != nullptr && m_loads.count(choice.id) == 0) {
            targets.push_back(
                EngineProbes::Target{choice.id, m_services.engineLinks.daemonAddress(*endpoint), saltedPrefixes(choice.weightsVersion)});
        }
    }
    m_question = m_services.probes.ask(targets, [this](const EndpointPlacement::LoadById &loads) {
        m_question = 0;
        for (const std::pair<const std::string, EndpointPlacement::EngineLoad> &load : loads) {
            m_loads.insert(load);
            placement().noteProbed(load.first, load.second, Loop::now());
        }
        search();
    });
}

void PlaceSearch::noteSent(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, bool isFetching)
{
    const PlacedPrompt &prompt = m_subject.prompt;
    placement().noteSent(choice.id, prompt.ownTokens);
    if (!m_subject.isEngineService) {
        return;
    }
    const auto load = m_loads.find(choice.id);
    const std::int64_t missing = EndpointPlacement::missingTokens(prompt, load == m_loads.end() ? nullptr : &load->second, choice.isHome);
    // What is fetched is mostly the first part.
    const std::int64_t fetched = isFetching ? std::min(missing, prompt.templateTokens) : 0;
    m_sentPrompt = m_services.probes.noteSent(m_services.engineLinks.daemonAddress(endpoint), prompt.ownTokens + missing - fetched,
                                              saltedPrefixes(choice.weightsVersion));
}

void PlaceSearch::noteDone(const std::string &endpoint, bool isRead)
{
    placement().noteFirstToken(endpoint, m_subject.prompt.ownTokens);
    m_services.probes.noteDone(m_sentPrompt, isRead);
}

std::string PlaceSearch::cacheSalt(std::int64_t weightsVersion) const
{
    const std::string salt = "w" + std::to_string(weightsVersion);
    return m_subject.isolatedAccount.empty() ? salt : salt + "-" + m_subject.isolatedAccount;
}

EngineProbes::Prefixes PlaceSearch::saltedPrefixes(std::int64_t weightsVersion) const
{
    const std::uint64_t salt = hashBytes(cacheSalt(weightsVersion), saltSeed);
    EngineProbes::Prefixes prefixes;
    for (const std::uint64_t prefix : {m_subject.prompt.templateHash, m_subject.prompt.sharedHash}) {
        prefixes.push_back(static_cast<std::int64_t>(hashCombine(prefix, salt)));
    }
    return prefixes;
}

}
