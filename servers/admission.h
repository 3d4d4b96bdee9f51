#pragma once

#include "core/time.h"

namespace citronspar
{

/**
 * Whether a request is worth starting: one whose first token is predicted too
 * late for its objective would be late itself and make those behind it late.
 * It answers the load after cold starts and in bursts, when engines have more
 * to read than time.
 */
class Admission
{
public:
    /** What a prediction rests on. */
    enum class Basis {
        /** The daemon beside the engine told a moment ago what waits there. */
        Probed,
        /** Only older reports, which miss about half of the true time under load. */
        Reported,
    };

private:
    static constexpr int admittedPercent(Basis basis)
    {
        return basis == Basis::Probed ? 100 : 60;
    }

public:
    /**
     * @param predicted the time to the first token from now
     * @param waited since the request arrived
     * @param objective of the route, for the first token
     */
    static bool admits(Duration predicted, Basis basis, Duration waited, Duration objective)
    {
        return predicted + waited <= objective * admittedPercent(basis) / 100;
    }
};

}
