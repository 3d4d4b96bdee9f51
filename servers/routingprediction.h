#pragma once

#include "servers/routingstrategy.h"

#include <optional>
#include <vector>

namespace citronspar
{

/** The endpoints that can take work, in the rendezvous order of the request's prefix. */
std::vector<std::size_t> usableByHash(const RoutingRequest &request, const std::vector<EndpointView> &endpoints);

/**
 * The predicted time to the first token: what is queued, then the missing part of the prompt.
 * @param recomputeWeight what the missing part counts for besides
 */
Duration predictedWait(const RoutingRequest &request, const ProbeResult &answer, double recomputeWeight);

/** The answer with the least predicted wait among those that can take work. */
std::optional<ProbeResult> bestAnswer(const RoutingRequest &request, const std::vector<ProbeResult> &answers, double recomputeWeight);

}
