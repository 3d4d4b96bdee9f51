#include "tests/servers/load/fleetmodel.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

FleetModel::Results serveBurst(bool usesPriority, std::uint64_t seed)
{
    FleetModel::Settings settings;
    settings.tokensPerMs.assign(12, 43);
    settings.engine.slots = 8;
    settings.usesGapTarget = false;
    settings.usesPriority = usesPriority;
    FleetModel::Kind urgent;
    urgent.name = "urgent";
    urgent.perSecond = 60;
    urgent.ownTokens = 300;
    urgent.outputTokens = 12;
    urgent.targetLatency = std::chrono::milliseconds(400);
    urgent.gapTarget = std::chrono::seconds(10);
    FleetModel::Kind patient = urgent;
    patient.name = "patient";
    patient.perSecond = 100 * 2.1;
    patient.priority = 5;
    patient.ownTokens = 2890;
    patient.targetLatency = std::chrono::milliseconds(1000);
    patient.begin = std::chrono::seconds(2);
    patient.end = std::chrono::seconds(10);
    FleetModel fleet(settings);
    return fleet.run({urgent, patient}, std::chrono::seconds(12), seed);
}

}

// Guards against urgent prompts that are refused because of the queue of patient ones, which the engine passes over.
TEST_CASE("[PromptPriority] Patient prompts at 2.1 times their rate do not get urgent ones refused")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetModel::Results with = serveBurst(true, seed);
        FleetModel::Results without = serveBurst(false, seed);
        INFO("seed " << seed << " urgent sent " << with["urgent"].sent << " refused " << with["urgent"].refused << " late "
                     << with["urgent"].late << "; without " << without["urgent"].refused << ", " << without["urgent"].late
                     << "; patient refused " << with["patient"].refused << " late " << with["patient"].late << " of "
                     << with["patient"].sent << "; without " << without["patient"].refused << ", " << without["patient"].late);
        CHECK(with["urgent"].refused == 0);
        CHECK(with["urgent"].inTimeShare() > 0.99);
        CHECK(without["urgent"].refused > 0);
    }
}

// Guards against urgent prompts that are counted behind patient ones, and against patient ones that do not see the urgent.
TEST_CASE("[PromptPriority] The endpoint daemon counts the tokens before a prompt of a priority")
{
    const TimePoint now{std::chrono::seconds(100)};
    PromptTracker tracker;
    tracker.recordSent(1, 1, 1000, {}, now, 5);
    tracker.recordSent(2, 1, 200, {}, now, 0);
    tracker.recordSent(1, 2, 3000, {}, now, 5);
    tracker.recordSent(1, 3, 40, {}, now);
    CHECK(tracker.tokensBefore(5, 0, now) == 4240);
    CHECK(tracker.tokensBefore(-1, 0, now) == 4240);
    CHECK(tracker.tokensBefore(0, 0, now) == 240);
    // The engine prefills the first prompt already, or the first three.
    CHECK(tracker.tokensBefore(0, 1, now) == 1240);
    CHECK(tracker.tokensBefore(0, 3, now) == 4240);
    tracker.recordDone(1, 1, true, now);
    CHECK(tracker.tokensBefore(0, 1, now) == 240);
    tracker.dropOwner(2);
    CHECK(tracker.tokensBefore(0, 0, now) == 40);
    tracker.clear();
    CHECK(tracker.tokensBefore(5, 9, now) == 0);
}

// Guards against the same fault in an entry daemon's own count, and against a probe answer for another priority.
TEST_CASE("[PromptPriority] Placement counts its own pending tokens by priority")
{
    const TimePoint now{std::chrono::seconds(100)};
    const std::vector<EndpointPlacement::Candidate> candidates{{"engine", 1}};
    const PlacedPrompt prompt{0, 0, 400};
    const std::vector<std::string> none;
    const EndpointPlacement::LoadById loads;
    const WeightsHistory weights;
    EndpointPlacement::Query urgent{prompt, candidates, weights, Duration::zero(), none, loads};
    EndpointPlacement::Query patient = urgent;
    urgent.priority = 0;
    patient.priority = 5;
    EndpointPlacement placement{EndpointPlacement::Settings()};
    placement.recordProbeAnswer("engine", EndpointPlacement::EngineLoad{8000, 0, {}}, now, 5);
    placement.recordProbeAnswer("engine", EndpointPlacement::EngineLoad{400, 0, {}}, now, 0);
    const double urgentCost = placement.choose(urgent, now)->costMs;
    CHECK(placement.choose(patient, now)->costMs == Approx(urgentCost + 190));
    placement.recordSent("engine", 4000, 5);
    const double running = EndpointPlacement::Settings().runningCostMs;
    CHECK(placement.choose(urgent, now)->costMs == Approx(urgentCost + running));
    CHECK(placement.choose(patient, now)->costMs == Approx(urgentCost + 290 + running));
    placement.recordSent("engine", 800, 0);
    CHECK(placement.choose(urgent, now)->costMs == Approx(urgentCost + 20 + 2 * running));
    CHECK(placement.choose(patient, now)->costMs == Approx(urgentCost + 310 + 2 * running));
    const TimePoint later = now + std::chrono::seconds(1);
    CHECK(placement.choose(urgent, later)->costMs == Approx(20 + 2 * running));
    CHECK(placement.choose(patient, later)->costMs == Approx(120 + 2 * running));
    placement.recordFirstToken("engine", 4000, 5);
    placement.recordFirstToken("engine", 800, 0);
    CHECK(placement.choose(patient, later)->costMs == Approx(2 * running));
}
