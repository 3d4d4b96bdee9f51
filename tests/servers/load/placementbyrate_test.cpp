#include "tests/servers/load/fleetmodel.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

constexpr double referenceRate = 43;

FleetModel::Settings threeSpeeds()
{
    FleetModel::Settings settings;
    for (const double speed : {0.5, 0.5, 0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 1.3, 1.3, 1.3, 1.3}) {
        settings.tokensPerMs.push_back(referenceRate * speed);
    }
    return settings;
}

double inTimeShare(const FleetModel::Settings &settings, double perSecond, std::uint64_t seed)
{
    FleetModel::Kind kind;
    kind.name = "chat";
    kind.perSecond = perSecond;
    kind.ownTokens = 2890;
    kind.outputTokens = 30;
    FleetModel fleet(settings);
    const FleetModel::Result result = fleet.run({kind}, std::chrono::seconds(20), seed).at("chat");
    return result.inTimeShare();
}

}

// Guards against slow engines that receive as many prompts as fast ones: their streams pause and their first events are late.
TEST_CASE("[EndpointPlacement] Placement by the engines' own rates serves more prompts in time than equal shares and a common rate")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        // The engines together prefill 166 of these prompts a second.
        constexpr double perSecond = 125;
        FleetModel::Settings settings = threeSpeeds();
        const double byOwnRate = inTimeShare(settings, perSecond, seed);
        settings.usesGapTarget = false;
        const double byCommonRate = inTimeShare(settings, perSecond, seed);
        settings.isRoundRobin = true;
        const double byEqualShares = inTimeShare(settings, perSecond, seed);
        INFO("seed " << seed << " own " << byOwnRate << " common " << byCommonRate << " equal " << byEqualShares);
        CHECK(byOwnRate > 0.97);
        CHECK(byOwnRate > byCommonRate + 0.05);
        CHECK(byOwnRate > byEqualShares + 0.25);
    }
}

// Guards against a rate that outlives its report, and against implausible ones.
TEST_CASE("[EndpointPlacement] An engine's own rate is used while its report is current, and within limits")
{
    const TimePoint now{std::chrono::seconds(100)};
    const std::vector<EndpointPlacement::Candidate> candidates{{"engine", 1}};
    const PlacedPrompt prompt{0, 0, 4000};
    const std::vector<std::string> none;
    const EndpointPlacement::LoadById loads;
    const WeightsHistory weights;
    EndpointPlacement::Query query{prompt, candidates, weights, Duration::zero(), none, loads};
    query.gapTarget = std::chrono::milliseconds(300);
    EndpointPlacement placement{EndpointPlacement::Settings()};
    CHECK(placement.choose(query, now)->costMs == Approx(100));
    EngineView view;
    view.weightsVersion = 1;
    view.prefillTokensPerMs = 20;
    view.reportedAt = now;
    placement.setView("engine", view);
    CHECK(placement.choose(query, now)->costMs == Approx(200));
    CHECK(placement.choose(query, now + std::chrono::milliseconds(1500))->costMs == Approx(100));
    placement.recordProbeAnswer("engine", EndpointPlacement::EngineLoad{0, 0, {}, 10}, now);
    CHECK(placement.choose(query, now)->costMs == Approx(400));
    CHECK(placement.choose(query, now + std::chrono::milliseconds(300))->costMs == Approx(200));
    view.prefillTokensPerMs = 1;
    placement.setView("engine", view);
    CHECK(placement.choose(query, now + std::chrono::milliseconds(300))->costMs == Approx(1000));
    query.gapTarget = Duration::zero();
    CHECK(placement.choose(query, now)->costMs == 0);
}
