#include "servers/rollouts/rolloutplan.h"

#include <algorithm>
#include <cmath>

namespace citronspar
{

namespace
{

/** Part of the bound on exposure that Canary may use; the rest is for requests counted late and for Raising. */
constexpr double canaryPart = 0.5;
/**
 * Part of the time to the deadline after which Raising begins. Canary lasts as long as the deadline permits, since a fault that
 * shows after some seconds then meets few requests.
 */
constexpr double raisingBegin = 0.3;
/** Part of the time to the deadline that each step of Raising takes: as long as reports of 338 daemons need (1.4 s) at 12 s. */
constexpr double raisingStep = 0.11;
/** Part of the time to the deadline from the last step to Closing, in which the responses of that step are reported. */
constexpr double raisingObservation = 0.08;
constexpr int raisingSteps = 2;
/**
 * Part of what remains up to the bound that the first step may use. Not much less than half, so that a fault that shows only
 * under load does so for both steps: reports and permits take up to 1.4 s each.
 */
constexpr double firstStepPart = 0.45;
/** Requests that have reached the new version before Raising may begin. Without any, no endpoint has shown that it works. */
constexpr std::int64_t raisingExposure = 20;
/** Part of the bound that is planned with: shares are met only on average. */
constexpr double plannedPart = 0.95;
/** Part of the average rate so far that is counted on until the deadline; the traffic may fall. */
constexpr double expectedRate = 0.7;
/** A share is planned for at least this long, since reports and permits are up to 1.4 s apart. */
constexpr Duration shortestHorizon = std::chrono::milliseconds(1500);
/** Two endpoints, so that one grey or slow endpoint does not look like a bad version. */
constexpr int fewestCanaryEndpoints = 2;
/** With fewer new endpoints than this part of the old ones, they would get more than twice the load of the old ones in Closing. */
constexpr double closingEndpoints = 0.5;

}

RolloutPlan::RolloutPlan(RolloutBounds bounds)
    : m_bounds(bounds)
{
}

std::int64_t RolloutPlan::canaryBudget(std::int64_t counted) const
{
    const double bound = m_bounds.exposureShare * static_cast<double>(std::max<std::int64_t>(0, counted)) + m_bounds.exposureSlack;
    // Strictly below half of the bound.
    return std::max<std::int64_t>(0, static_cast<std::int64_t>(std::ceil(canaryPart * bound)) - 1);
}

double RolloutPlan::exposureLimit(const Progress &progress) const
{
    const double counted = static_cast<double>(progress.counted);
    const double rate = counted / std::max(toSeconds(progress.sinceOrder), 1.0);
    const double remaining = std::max(0.0, toSeconds(progress.deadline - progress.sinceOrder));
    return plannedPart * (m_bounds.exposureShare * (counted + expectedRate * rate * remaining) + m_bounds.exposureSlack);
}

RolloutPhase RolloutPlan::nextPhase(const Progress &progress) const
{
    const bool isRunning = progress.phase == RolloutPhase::Canary || progress.phase == RolloutPhase::Raising;
    if (!isRunning && progress.phase != RolloutPhase::Closing) {
        return progress.phase;
    }
    if (progress.verdict == VersionJudge::Verdict::Bad || (isRunning && progress.sinceOrder >= progress.deadline)) {
        return RolloutPhase::Reverted;
    }
    const double deadline = toSeconds(progress.deadline);
    if (progress.phase == RolloutPhase::Canary) {
        const bool isDue = toSeconds(progress.sinceOrder) >= raisingBegin * deadline;
        return isDue && progress.newEndpoints > 0 && progress.exposed >= raisingExposure ? RolloutPhase::Raising : RolloutPhase::Canary;
    }
    if (progress.phase == RolloutPhase::Raising) {
        const bool isDue = toSeconds(progress.inPhase) >= (raisingSteps * raisingStep + raisingObservation) * deadline;
        const bool isLarge = progress.newEndpoints > 0 && progress.newEndpoints >= closingEndpoints * progress.oldEndpoints;
        const bool isGood = progress.verdict == VersionJudge::Verdict::Good;
        return isDue && isLarge && isGood ? RolloutPhase::Closing : RolloutPhase::Raising;
    }
    return progress.phase;
}

double RolloutPlan::share(const Progress &progress) const
{
    if (progress.phase == RolloutPhase::Closing || progress.phase == RolloutPhase::Completed) {
        return 1;
    }
    if (progress.phase != RolloutPhase::Raising || progress.newEndpoints <= 0 || progress.counted <= 0) {
        return 0;
    }
    const double stepLength = raisingStep * toSeconds(progress.deadline);
    const double inPhase = toSeconds(progress.inPhase);
    const double limit = exposureLimit(progress);
    const double canary = std::min(limit, static_cast<double>(canaryBudget(progress.counted)));
    const bool isFirst = inPhase < stepLength;
    const double allowed = isFirst ? canary + firstStepPart * (limit - canary) : limit;
    const double horizon = std::max((isFirst ? stepLength : raisingSteps * stepLength) - inPhase, toSeconds(shortestHorizon));
    const double rate = static_cast<double>(progress.counted) / std::max(toSeconds(progress.sinceOrder), 1.0);
    const double planned = (allowed - static_cast<double>(progress.exposed)) / (rate * horizon);
    const double capacity = progress.oldEndpoints > 0 ? static_cast<double>(progress.newEndpoints) / progress.oldEndpoints : 1;
    return std::clamp(planned, 0.0, std::min(1.0, capacity));
}

int RolloutPlan::canaryEndpoints(const Progress &progress) const
{
    const int all = std::max(1, progress.newEndpoints);
    double part = 1;
    if (progress.phase == RolloutPhase::Canary) {
        // The average until Raising begins, so that the number of endpoints changes little: each new one has cold caches.
        const double counted = static_cast<double>(progress.counted) / std::max(toSeconds(progress.sinceOrder), 1.0) * raisingBegin
            * toSeconds(progress.deadline);
        part = counted < 1 ? 0 : static_cast<double>(canaryBudget(static_cast<std::int64_t>(counted))) / counted;
    } else if (progress.phase == RolloutPhase::Raising) {
        // The share of the last step, in both steps, so that the caches are warm in the last one.
        const double limit = exposureLimit(progress);
        const double canary = std::min(limit, static_cast<double>(canaryBudget(progress.counted)));
        const double rate = std::max(1.0, static_cast<double>(progress.counted) / std::max(toSeconds(progress.sinceOrder), 1.0));
        part = (1 - firstStepPart) * (limit - canary)
            / (rate * std::max(toSeconds(shortestHorizon), raisingStep * toSeconds(progress.deadline)));
    } else {
        return all;
    }
    const int loaded = static_cast<int>(std::ceil(std::min(1.0, part) * std::max(0, progress.oldEndpoints)));
    return std::min(all, std::max(fewestCanaryEndpoints, loaded));
}

}
