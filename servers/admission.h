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
private:
    // Predictions are about half of the true time under load.
    static constexpr int admittedPercent = 60;

public:
    /**
     * @param predicted the time to the first token from now
     * @param waited since the request arrived
     * @param objective of the route, for the first token
     */
    static bool admits(Duration predicted, Duration waited, Duration objective)
    {
        return predicted + waited <= objective * admittedPercent / 100;
    }
};

}
