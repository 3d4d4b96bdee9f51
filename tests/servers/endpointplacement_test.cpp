#include "servers/endpointplacement.h"

#include <catch2/catch.hpp>

#include <set>

using namespace citronspar;

namespace
{

const TimePoint now{std::chrono::seconds(100)};

std::vector<EndpointPlacement::Candidate> engines(int count, std::int64_t version = 1)
{
    std::vector<EndpointPlacement::Candidate> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(EndpointPlacement::Candidate{"engine-" + std::to_string(i), version});
    }
    return result;
}

EngineView viewOf(std::int64_t version, bool isLoading = false)
{
    EngineView view;
    view.weightsVersion = version;
    view.isLoading = isLoading;
    view.toldAt = now;
    return view;
}

constexpr PlacedPrompt longPrompt{77, 6000, 3000};

}

TEST_CASE("[EndpointPlacement] A prefix goes to its home, and elsewhere only under load there")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    const std::optional<EndpointPlacement::Choice> home = placement.choose(longPrompt, engines(12), 0, false, {}, now);
    REQUIRE(home.has_value());
    CHECK(home->isHome);
    CHECK(placement.choose(longPrompt, engines(12), 0, false, {}, now)->id == home->id);
    for (int i = 0; i < 4; ++i) {
        placement.noteSent(home->id, 9000);
    }
    const std::optional<EndpointPlacement::Choice> second = placement.choose(longPrompt, engines(12), 0, false, {}, now);
    CHECK(second->id != home->id);
}

TEST_CASE("[EndpointPlacement] Different prefixes have different homes")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    std::set<std::string> homes;
    for (std::uint64_t prefix = 1; prefix <= 60; ++prefix) {
        homes.insert(placement.choose(PlacedPrompt{prefix, 6000, 100}, engines(12), 0, false, {}, now)->id);
    }
    CHECK(homes.size() >= 11);
}

TEST_CASE("[EndpointPlacement] Engines that load, do not answer or were tried are left out")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    placement.setView("engine-0", viewOf(1, true));
    EngineView silent = viewOf(1);
    silent.isAnswering = false;
    placement.setView("engine-1", silent);
    placement.avoid("engine-2", now, std::chrono::milliseconds(100));
    CHECK_FALSE(placement.choose(longPrompt, engines(4), 0, false, {"engine-3"}, now).has_value());
    CHECK(placement.choose(longPrompt, engines(4), 0, false, {}, now)->id == "engine-3");
    const TimePoint later = now + std::chrono::seconds(2);
    CHECK(placement.choose(longPrompt, engines(1), 0, false, {}, later).has_value());
}

TEST_CASE("[EndpointPlacement] The daemon's word on weights comes before the list's, and old weights end")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    placement.setView("engine-0", viewOf(2));
    const std::optional<EndpointPlacement::Choice> choice = placement.choose(PlacedPrompt{}, engines(3), 2, false, {}, now);
    CHECK(choice->id == "engine-0");
    CHECK(choice->weightsVersion == 2);
    CHECK(placement.choose(longPrompt, engines(3), 2, true, {}, now)->id == "engine-0");
    CHECK_FALSE(placement.choose(longPrompt, engines(3), 3, true, {}, now).has_value());
}

TEST_CASE("[EndpointPlacement] An endpoint that fails gets less work for a time")
{
    EndpointPlacement placement{EndpointPlacement::Settings()};
    const std::string first = placement.choose(PlacedPrompt{}, engines(2), 0, false, {}, now)->id;
    placement.noteFailure(first, now);
    CHECK(placement.choose(PlacedPrompt{}, engines(2), 0, false, {}, now)->id != first);
    CHECK(placement.choose(PlacedPrompt{}, engines(2), 0, false, {}, now + std::chrono::seconds(4))->id == first);
}
