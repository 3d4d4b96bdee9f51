#pragma once

#include "servers/routingstrategy.h"

#include <memory>

namespace citronspar
{

/** Takes the endpoints in turn. */
std::unique_ptr<RoutingStrategy> makeRoundRobin(const RoutingSettings &settings);

/** Takes the endpoint with the least reported load. */
std::unique_ptr<RoutingStrategy> makeLeastLoaded(const RoutingSettings &settings);

/** Takes the first endpoint by hash. */
std::unique_ptr<RoutingStrategy> makeHashOnly(const RoutingSettings &settings);

/** Takes the first endpoint by hash whose reported load is not far above the mean. */
std::unique_ptr<RoutingStrategy> makeHashBounded(const RoutingSettings &settings);

/** Probes every endpoint and takes the least predicted wait: a reference, too costly for use. */
std::unique_ptr<RoutingStrategy> makeGreedyFull(const RoutingSettings &settings);

}
