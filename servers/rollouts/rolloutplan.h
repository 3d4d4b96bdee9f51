#pragma once

#include "servers/rollouts/rollout.h"
#include "servers/rollouts/versionjudge.h"

#include <cstdint>

namespace citronspar
{

/**
 * How large the exposure of a new version may be over the time of its order. Answers a bad version that is found late, or
 * never: until it is judged sound, what it may receive stays below the bound on exposure, whatever the judgement says. A good
 * version is completed before its deadline, with time for running attempts to end.
 */
class RolloutPlan
{
public:
    explicit RolloutPlan(RolloutBounds bounds);

    /** Requests that may reach the new version in total by now while it is not judged sound: cumulative. */
    std::int64_t canaryBudget(std::int64_t counted) const;

    struct Progress
    {
        Duration sinceOrder;
        Duration deadline;
        RolloutPhase phase;
        Duration inPhase;
        std::int64_t counted;
        std::int64_t exposed;
        VersionJudge::Verdict verdict;
        int newEndpoints;
        int oldEndpoints;
    };

    /**
     * The phase that should follow now; the same phase if none should. Reverted for a bad verdict, or an undecided one at the
     * deadline (not in Closing). Never Completed: that depends on running attempts.
     *
     * Raising begins at its time even without a verdict, since share() keeps the exposure below the bound; Closing needs a good
     * verdict.
     */
    RolloutPhase nextPhase(const Progress &progress) const;

    /** Share of new attempts for the new version in Raising: 0..1, limited by the number of new endpoints relative to the old ones. */
    double share(const Progress &progress) const;

    /**
     * Endpoints of the new version that grants are concentrated on in Canary; at least 1. In Raising, the number that keeps the
     * load of each near that of an old endpoint, and in Closing all of them.
     */
    int canaryEndpoints(const Progress &progress) const;

private:
    RolloutBounds m_bounds;

    /** Requests that a version may receive in total if it turns out bad, as far as the requests counted so far tell. */
    double exposureLimit(const Progress &progress) const;
};

}
