#pragma once

#include "core/errorkind.h"
#include "servers/trafficconfig.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronspar
{

/** What decides where a request goes and who pays for it. */
struct RoutingQuestion
{
    std::string host;
    std::string path;
    /** The key that the request bears, if any. */
    std::optional<std::string> key;
    /** Spreads requests over the services of a split. */
    std::uint64_t hash = 0;
};

/** A request's place in the configuration, or why it has none. Points into the configuration. */
struct RoutedRequest
{
    std::optional<ErrorKind> refusal;
    const TrafficRoute *route = nullptr;
    /** Nobody on public routes. */
    const TrafficAccount *account = nullptr;
    std::string service;
    bool isEngineService = false;
};

/**
 * Finds the route, the client account and the service of a request.
 * @param isFresh whether what is known of keys and routes is new enough; if not, nothing is denied for good
 */
RoutedRequest routeRequest(const TrafficConfig &config, const RoutingQuestion &question, bool isFresh);

}
