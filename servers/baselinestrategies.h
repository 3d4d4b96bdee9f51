#pragma once

#include "servers/routingstrategy.h"

#include <memory>

namespace citronspar
{

/** Selects the endpoints in turn. */
std::unique_ptr<RoutingStrategy> makeRoundRobin(const RoutingSettings &settings);

/** Selects the endpoint with the lowest reported load. */
std::unique_ptr<RoutingStrategy> makeLeastLoaded(const RoutingSettings &settings);

/** Selects the first endpoint in rendezvous order. */
std::unique_ptr<RoutingStrategy> makeHashOnly(const RoutingSettings &settings);

/** Selects the first endpoint in rendezvous order whose reported load is at most RoutingSettings::loadBound times the mean. */
std::unique_ptr<RoutingStrategy> makeHashBounded(const RoutingSettings &settings);

/**
 * Probes every endpoint and selects the one with the lowest predicted time to
 * first token. A reference for benchmarks, too costly for production.
 */
std::unique_ptr<RoutingStrategy> makeGreedyFull(const RoutingSettings &settings);

}
