#include "servers/hashprobe.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace citronspar;

namespace
{

constexpr double tokensPerSecond = 10000;
const RoutingRequest request{42, 30000};

std::vector<EndpointView> viewsOf(std::size_t count)
{
    std::vector<EndpointView> views(count);
    for (std::size_t i = 0; i < count; ++i) {
        views[i].idHash = 1000 + i;
    }
    return views;
}

/** Places one request. The endpoint @p holder has its blocks cached; the others are idle with empty caches. */
std::optional<std::size_t> place(HashProbe &strategy, const std::vector<EndpointView> &views, std::size_t holder, std::size_t &probeCount)
{
    RoutingStrategy::Random random(7);
    std::vector<std::size_t> probed;
    std::vector<ProbeResult> answers;
    for (std::vector<std::size_t> next = strategy.nextProbes(request, views, probed, answers, random); !next.empty();
         next = strategy.nextProbes(request, views, probed, answers, random)) {
        for (const std::size_t endpoint : next) {
            probed.push_back(endpoint);
            answers.push_back(ProbeResult{endpoint, endpoint == holder ? request.promptTokens : 0, 0, tokensPerSecond, true});
        }
    }
    probeCount = probed.size();
    return strategy.choose(request, views, answers);
}

}

TEST_CASE("[HashProbe] A restarted entry daemon probes the same endpoints as the others")
{
    HashProbe first{RoutingSettings()};
    HashProbe second{RoutingSettings()};
    RoutingStrategy::Random random(1);
    const std::vector<EndpointView> views = viewsOf(12);
    CHECK(first.nextProbes(request, views, {}, {}, random) == second.nextProbes(request, views, {}, {}, random));
}

TEST_CASE("[HashProbe] More endpoints are probed only if the predicted time to first token at the first ones is too long")
{
    HashProbe strategy{RoutingSettings()};
    RoutingStrategy::Random random(1);
    const std::vector<EndpointView> views = viewsOf(12);
    const std::size_t home = strategy.nextProbes(request, views, {}, {}, random).front();
    std::size_t probeCount = 0;
    CHECK(place(strategy, views, home, probeCount) == home);
    CHECK(probeCount == 2);
    place(strategy, views, 99, probeCount);
    CHECK(probeCount == 3);
}

TEST_CASE("[HashProbe] A cached prefix outside the first endpoints in rendezvous order is found again")
{
    RoutingSettings settings;
    settings.moreProbes = 11;
    HashProbe strategy(settings);
    RoutingStrategy::Random random(1);
    const std::vector<EndpointView> views = viewsOf(12);
    const std::vector<std::size_t> byHash = strategy.nextProbes(request, views, {}, {}, random);
    std::size_t holder = 0;
    while (std::find(byHash.begin(), byHash.end(), holder) != byHash.end()) {
        ++holder;
    }
    std::size_t probeCount = 0;
    REQUIRE(place(strategy, views, holder, probeCount) == holder);
    CHECK(strategy.nextProbes(request, views, {}, {}, random).front() == holder);
}

TEST_CASE("[HashProbe] An endpoint that can't take work is neither probed nor chosen")
{
    HashProbe strategy{RoutingSettings()};
    RoutingStrategy::Random random(1);
    std::vector<EndpointView> views = viewsOf(3);
    views[1].canTakeWork = false;
    const std::vector<std::size_t> probed = strategy.nextProbes(request, views, {}, {}, random);
    CHECK(std::find(probed.begin(), probed.end(), 1) == probed.end());
    CHECK_FALSE(strategy.choose(request, views, {ProbeResult{0, 0, 0, tokensPerSecond, false}}).has_value());
    CHECK(strategy.choose(request, views, {}).has_value());
}
