#pragma once

#include "core/errorkind.h"
#include "servers/trafficconfig.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronspar
{

/** The properties of a request that determine its service and the client account that it is charged to. */
struct RoutingQuery
{
    std::string host;
    std::string path;
    /** The API key of the request, if it has one. */
    std::optional<std::string> key;
    /** Distributes requests over the services of a traffic split. */
    std::uint64_t hash = 0;
};

/** The result of routing a request, or the reason for its refusal. Points into the configuration. */
struct RoutedRequest
{
    std::optional<ErrorKind> refusal;
    const TrafficRoute *route = nullptr;
    /** nullptr on public routes. */
    const TrafficAccount *account = nullptr;
    std::string service;
    bool isEngineService = false;
};

/**
 * Finds the route, the client account and the service of a request.
 * @param isFresh whether the known keys and routes are recent enough; if not, every refusal is the retryable
 * ErrorKind::NotFresh, and keyed requests are refused even if their key is known, as it may have been revoked
 */
RoutedRequest routeRequest(const TrafficConfig &config, const RoutingQuery &query, bool isFresh);

}
