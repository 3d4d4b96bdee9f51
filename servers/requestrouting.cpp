#include "servers/requestrouting.h"

namespace citronspar
{

namespace
{

RoutedRequest refuse(ErrorKind kind, bool isFresh)
{
    RoutedRequest result;
    result.refusal = isFresh ? kind : ErrorKind::NotFresh;
    return result;
}

}

RoutedRequest routeRequest(const TrafficConfig &config, const RoutingQuery &query, bool isFresh)
{
    RoutedRequest result;
    result.route = config.findRoute(query.host, query.path);
    if (result.route == nullptr) {
        return refuse(ErrorKind::UnknownRoute, isFresh);
    }
    if (result.route->needsKey) {
        if (!query.key.has_value()) {
            return refuse(ErrorKind::KeyMissing, isFresh);
        }
        result.account = config.findAccountByKey(*query.key);
        if (result.account == nullptr || !isFresh) {
            return refuse(ErrorKind::KeyRejected, isFresh);
        }
    }
    result.service = chooseService(*result.route, query.hash);
    const auto service = config.services.find(result.service);
    result.isEngineService = service != config.services.end() && service->second.isEngine;
    return result;
}

}
