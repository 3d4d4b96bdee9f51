#pragma once

#include "core/time.h"

namespace citronspar
{

/**
 * Admission control by predicted time to first token: a request predicted to
 * miss its latency objective is rejected, as it would be late itself and delay
 * the requests queued behind it. Takes effect after cold starts and in bursts,
 * when the prefill load exceeds the capacity of the engines.
 */
class Admission
{
public:
    /** The source of a prediction. */
    enum class Basis {
        /** A recent probe answer of the engine's endpoint daemon with the tokens pending there. */
        Probed,
        /** Older reports only, which underestimate the time by about half under load. */
        Reported,
    };

private:
    /** The percentage of the objective that a prediction may use; lower for reports, as they underestimate the time. */
    static constexpr int usablePercent(Basis basis)
    {
        return basis == Basis::Probed ? 100 : 60;
    }

public:
    /**
     * Whether a request is expected to meet its objective.
     * @param predicted the time from now to the first token
     * @param waited the time since the request arrived
     * @param objective the route's objective for the time to first token
     */
    static bool admits(Duration predicted, Basis basis, Duration waited, Duration objective)
    {
        return predicted + waited <= objective * usablePercent(basis) / 100;
    }
};

}
