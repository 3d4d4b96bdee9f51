#include "servers/requestrouting.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

TrafficConfig config()
{
    TrafficConfig result;
    TrafficRoute keyed;
    keyed.host = "h";
    keyed.pathPrefix = "/keyed/";
    keyed.split = {{"pool", 1}};
    TrafficRoute open = keyed;
    open.pathPrefix = "/open/";
    open.needsKey = false;
    result.routes = {keyed, open};
    result.services["pool"].isEngine = true;
    result.accounts.emplace_back();
    result.accounts.back().name = "mine";
    result.keys["good"] = 0;
    return result;
}

}

TEST_CASE("[RequestRouting] A request on a keyed route gets the account of its key, one on a public route gets none")
{
    const TrafficConfig trafficConfig = config();
    const RoutedRequest keyed = routeRequest(trafficConfig, RoutingQuery{"h", "/keyed/x", "good", 1}, true);
    REQUIRE_FALSE(keyed.refusal.has_value());
    CHECK(keyed.account->name == "mine");
    CHECK(keyed.service == "pool");
    CHECK(keyed.isEngineService);
    CHECK(routeRequest(trafficConfig, RoutingQuery{"h", "/open/x", "bad", 1}, true).account == nullptr);
    CHECK(routeRequest(trafficConfig, RoutingQuery{"h", "/keyed/x", "bad", 1}, true).refusal == ErrorKind::KeyRejected);
    CHECK(routeRequest(trafficConfig, RoutingQuery{"h", "/keyed/x", std::nullopt, 1}, true).refusal == ErrorKind::KeyMissing);
    CHECK(routeRequest(trafficConfig, RoutingQuery{"h", "/other/x", "good", 1}, true).refusal == ErrorKind::UnknownRoute);
}

TEST_CASE("[RequestRouting] Without fresh configuration every refusal is NotFresh and keyed requests are refused")
{
    const TrafficConfig trafficConfig = config();
    for (const char *path : {"/keyed/x", "/other/x"}) {
        for (const char *key : {"good", "bad"}) {
            CHECK(routeRequest(trafficConfig, RoutingQuery{"h", path, key, 1}, false).refusal == ErrorKind::NotFresh);
        }
    }
    CHECK_FALSE(routeRequest(trafficConfig, RoutingQuery{"h", "/open/x", std::nullopt, 1}, false).refusal.has_value());
}
