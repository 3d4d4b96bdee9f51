#include "servers/endpointplacement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace citronspar;

namespace
{

const TimePoint now{std::chrono::seconds(100)};

std::vector<EndpointPlacement::Candidate> engines(int count, std::int64_t version = 1)
{
    std::vector<EndpointPlacement::Candidate> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(EndpointPlacement::Candidate{"engine-" + std::to_string(i), version});
    }
    return result;
}

EngineView viewOf(std::int64_t version, bool isLoading = false)
{
    EngineView view;
    view.weightsVersion = version;
    view.isLoading = isLoading;
    view.reportedAt = now;
    return view;
}

constexpr Duration weightsLimit = std::chrono::seconds(8);

constexpr PlacedPrompt longPrompt{77, 6000, 3000};

std::optional<EndpointPlacement::Choice> choose(const EndpointPlacement &placement, const PlacedPrompt &prompt,
                                                const std::vector<EndpointPlacement::Candidate> &candidates, std::int64_t wantedVersion,
                                                bool rejectsOldWeights, const std::vector<std::string> &excluded, TimePoint at)
{
    const Duration age = rejectsOldWeights ? weightsLimit : Duration::zero();
    WeightsHistory weights;
    weights.record(WeightsVersion{wantedVersion, at - age, at - age});
    return placement.choose({prompt, candidates, weights, weightsLimit, excluded, {}}, at);
}

}

TEST_CASE("[EndpointPlacement] A prefix is placed on its home engine, and on another one only if the home is loaded")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    const std::optional<EndpointPlacement::Choice> home = choose(placement, longPrompt, engines(12), 0, false, {}, now);
    REQUIRE(home.has_value());
    CHECK(home->isHome);
    CHECK(choose(placement, longPrompt, engines(12), 0, false, {}, now)->id == home->id);
    for (int i = 0; i < 4; ++i) {
        placement.recordSent(home->id, 9000);
    }
    const std::optional<EndpointPlacement::Choice> second = choose(placement, longPrompt, engines(12), 0, false, {}, now);
    CHECK(second->id != home->id);
}

TEST_CASE("[EndpointPlacement] Different prefixes have different homes")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    std::set<std::string> homes;
    for (std::uint64_t prefix = 1; prefix <= 60; ++prefix) {
        homes.insert(choose(placement, PlacedPrompt{prefix, 6000, 100}, engines(12), 0, false, {}, now)->id);
    }
    CHECK(homes.size() >= 11);
}

TEST_CASE("[EndpointPlacement] Engines that are loading weights, do not answer, rejected a request or were already tried are excluded")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    placement.setView("engine-0", viewOf(1, true));
    EngineView silent = viewOf(1);
    silent.isAnswering = false;
    placement.setView("engine-1", silent);
    placement.avoid("engine-2", now, std::chrono::milliseconds(100));
    CHECK_FALSE(choose(placement, longPrompt, engines(4), 0, false, {"engine-3"}, now).has_value());
    CHECK(choose(placement, longPrompt, engines(4), 0, false, {}, now)->id == "engine-3");
    const TimePoint later = now + std::chrono::seconds(2);
    CHECK(choose(placement, longPrompt, engines(1), 0, false, {}, later).has_value());
}

TEST_CASE("[EndpointPlacement] A newer weights version in a report takes precedence over the listed one, and old weights can be excluded")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    placement.setView("engine-0", viewOf(2));
    const std::optional<EndpointPlacement::Choice> choice = choose(placement, PlacedPrompt{}, engines(3), 2, false, {}, now);
    CHECK(choice->id == "engine-0");
    CHECK(choice->weightsVersion == 2);
    CHECK(choose(placement, longPrompt, engines(3), 2, true, {}, now)->id == "engine-0");
    CHECK_FALSE(choose(placement, longPrompt, engines(3), 3, true, {}, now).has_value());
}

TEST_CASE("[EndpointPlacement] An endpoint that failed a request is ranked lower for a limited time")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    const std::string first = choose(placement, PlacedPrompt{}, engines(2), 0, false, {}, now)->id;
    placement.recordFailure(first, now);
    CHECK(choose(placement, PlacedPrompt{}, engines(2), 0, false, {}, now)->id != first);
    CHECK(choose(placement, PlacedPrompt{}, engines(2), 0, false, {}, now + std::chrono::seconds(4))->id == first);
}

TEST_CASE("[EndpointPlacement] Probes prevent many entry daemons from overloading the first engines with new weights")
{
    // 7 of 45 engines have new weights and look idle to 24 daemons that all choose an engine before the next report.
    constexpr int daemons = 24;
    constexpr std::int64_t promptTokens = 3000;
    std::vector<EndpointPlacement::Candidate> candidates = engines(45);
    for (std::size_t i = 0; i < 7; ++i) {
        candidates[i].listedVersion = 2;
    }
    std::map<std::string, std::int64_t> pending;
    const std::vector<std::string> none;
    WeightsHistory weights;
    weights.record(WeightsVersion{2, now, now});
    for (std::uint64_t i = 0; i < daemons * 4; ++i) {
        EndpointPlacement placement{EndpointPlacement::Settings()};
        const PlacedPrompt prompt{i + 1, 0, promptTokens};
        EndpointPlacement::LoadById loads;
        const EndpointPlacement::Query query{prompt, candidates, weights, std::chrono::hours(1), none, loads};
        // At most three rounds of four probes, until the best engine has been probed.
        for (int round = 0; round < 3 && loads.count(placement.choose(query, now)->id) == 0; ++round) {
            for (const EndpointPlacement::Choice &choice : placement.rank(query, 4, now)) {
                loads[choice.id] = EndpointPlacement::EngineLoad{pending[choice.id], 0, {}};
                placement.recordProbeAnswer(choice.id, loads[choice.id], now);
            }
        }
        pending[placement.choose(query, now)->id] += promptTokens;
    }
    std::int64_t maxPending = 0;
    for (const std::pair<const std::string, std::int64_t> &engine : pending) {
        maxPending = std::max(maxPending, engine.second);
    }
    // Without probes, each of the seven engines would get 13 prompts.
    CHECK(maxPending <= 6 * promptTokens);
}

TEST_CASE("[EndpointPlacement] An engine that has a prefix cached is preferred to a home engine that does not")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    const std::vector<EndpointPlacement::Candidate> candidates = engines(12);
    const std::vector<std::string> none;
    EndpointPlacement::LoadById loads;
    const WeightsHistory weights;
    const EndpointPlacement::Query query{longPrompt, candidates, weights, Duration::zero(), none, loads};
    const std::vector<EndpointPlacement::Choice> ranked = placement.rank(query, 3, now);
    REQUIRE(ranked.size() == 3);
    CHECK(ranked.front().isHome);
    loads[ranked[0].id] = EndpointPlacement::EngineLoad{0, 0, {}};
    loads[ranked[1].id] = EndpointPlacement::EngineLoad{1000, 2, {}};
    CHECK(placement.choose(query, now)->id == ranked[1].id);
}
