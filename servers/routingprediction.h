#pragma once

#include "servers/routingstrategy.h"

#include <optional>
#include <vector>

namespace citronspar
{

/** Returns the indices of the endpoints that can take work, in rendezvous order for the request's prefix. */
std::vector<std::size_t> usableInRendezvousOrder(const RoutingRequest &request, const std::vector<EndpointView> &endpoints);

/**
 * Returns the predicted time to first token: the prefill of the queued tokens and of the part of the prompt not cached.
 * @param recomputeWeight additional weight of the part not cached
 */
Duration predictedTimeToFirstToken(const RoutingRequest &request, const ProbeResult &answer, double recomputeWeight);

/** Returns the answer with the lowest predicted time to first token among endpoints that can take work, or nullopt if there is none. */
std::optional<ProbeResult> bestAnswer(const RoutingRequest &request, const std::vector<ProbeResult> &answers, double recomputeWeight);

}
