#include "tests/fakes/crashfleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes::crashfleet;

namespace
{

constexpr int crashesBeforeBlock = 5;
constexpr int toleratedRequests = 3;

}

TEST_CASE("[CrashingRequests] Requests with a prompt part that crashes engines stop reaching engines at all entry daemons")
{
    CrashFixture fleet;
    int servedSound = 0;
    int sentSound = 0;
    for (int i = 0; i < 30; ++i) {
        const int daemon = i % daemonCount;
        // All prompts have the template. The position of the bad part among the shared parts varies.
        const std::vector<std::string> bad = {"bad:100,template:100,account" + std::to_string(i % 2) + ":100",
                                              "template:100,bad:100,account" + std::to_string(i % 2) + ":100",
                                              "template:100,account" + std::to_string(i % 2) + ":100,bad:100"};
        fleet.sendAndWait(daemon, bad[static_cast<std::size_t>(i) % bad.size()]);
        const Outcome sound = fleet.sendAndWait(daemon, "template:100,account" + std::to_string(i % 2) + ":100");
        if (i >= 15) {
            ++sentSound;
            servedSound += sound.status == 200 && sound.result == HttpCallResult::Complete ? 1 : 0;
        }
        fleet.runFor(std::chrono::milliseconds(20));
    }
    CHECK(fleet.crashCount <= crashesBeforeBlock + toleratedRequests);
    CHECK(servedSound == sentSound);
}

TEST_CASE(
    "[CrashingRequests] A request under which plain endpoints end one shortly after the other stops reaching them at all entry daemons")
{
    FleetOptions options;
    options.service = "plain";
    options.endpointCount = 3;
    options.timeToCrash = std::chrono::milliseconds(45);
    options.restartTime = std::chrono::milliseconds(1300);
    CrashFixture fleet(options);
    // Three waves: the caller sends the request again at another daemon as soon as it has failed, until no endpoint is left.
    for (int wave = 0; wave < 3; ++wave) {
        for (int i = 0; i < 3; ++i) {
            fleet.wait(fleet.sendPlain((wave + i) % daemonCount, "bad"));
            fleet.wait(fleet.sendPlain(i, "sound " + std::to_string(wave) + std::to_string(i)));
        }
        fleet.runFor(std::chrono::milliseconds(1500));
    }
    // The first three endpoints, and one trial.
    CHECK(fleet.crashCount <= 4);
    CHECK(fleet.wait(fleet.sendPlain(0, "sound")).status == 200);
}

TEST_CASE("[CrashingRequests] A request that ends endpoints is known again after its route has come to need a key")
{
    FleetOptions options;
    options.service = "plain";
    CrashFixture fleet(options);
    fleet.wait(fleet.sendPlain(0, "bad"));
    REQUIRE(fleet.crashCount == 2);
    fleet.store->put("op", "config", configText(2, false));
    fleet.runFor(std::chrono::milliseconds(300));
    fleet.wait(fleet.sendPlain(1, "bad"));
    CHECK(fleet.wait(fleet.sendPlain(2, "bad")).status == 503);
    // The second attempt of the second request is sent before the end of the third endpoint is known.
    CHECK(fleet.crashCount <= 4);
}
