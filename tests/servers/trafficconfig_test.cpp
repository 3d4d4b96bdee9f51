#include "servers/trafficconfig.h"

#include <catch2/catch.hpp>

#include <map>

using namespace citronspar;

TEST_CASE("[TrafficConfig] The route with the longest matching prefix of the host is selected")
{
    TrafficConfig config;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        TrafficRoute route;
        route.name = prefix;
        route.host = "one.example";
        route.pathPrefix = prefix;
        config.routes.push_back(route);
    }
    CHECK(config.findRoute("one.example", "/a/b/c")->name == "/a/b/");
    CHECK(config.findRoute("one.example", "/a/x")->name == "/a/");
    CHECK(config.findRoute("one.example", "/ab")->name == "/");
    CHECK(config.findRoute("two.example", "/a/b/c") == nullptr);
}

TEST_CASE("[TrafficConfig] A split follows its weights and always selects the same service for a request")
{
    TrafficRoute route;
    route.split = {{"nine", 90}, {"one", 10}};
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 10000; ++i) {
        const std::uint64_t hash = i * 0x9e3779b97f4a7c15ULL;
        CHECK(chooseService(route, hash) == chooseService(route, hash));
        ++counts[chooseService(route, hash)];
    }
    CHECK(counts["one"] > 800);
    CHECK(counts["one"] < 1200);
}
