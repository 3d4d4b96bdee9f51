#include "main/proxy/quotaclient.h"
#include "main/sidecar/sidecarrole.h"
#include "tests/fakes/platformfakes.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

constexpr const char *storeAddress = "127.0.0.1:18951";
constexpr const char *engineAddress = "127.0.0.1:18952";
constexpr const char *holderAddress = "127.0.0.1:18953";
constexpr const char *askerAddress = "127.0.0.1:18954";

Settings settingsOf(const std::string &daemon, const std::string &peerListen)
{
    Settings settings;
    settings.daemon = daemon;
    settings.zone = "a";
    settings.peerListen = peerListen;
    settings.table = storeAddress;
    settings.engine = engineAddress;
    settings.fleetSecret = "a secret of the fleet";
    settings.platform = PlatformSettings();
    return settings;
}

std::string configText(double rate)
{
    return nlohmann::json({{"version", 5},
                           {"routes", nlohmann::json::array()},
                           {"services", nlohmann::json::array()},
                           {"limits", nlohmann::json::object()},
                           {"tenants", {{{"name", "one"}, {"apiKeys", {"k"}}, {"unit", "tokens"}, {"ratePerS", rate}, {"burst", rate}}}}})
        .dump();
}

/** A daemon that asks, and the endpoint daemon that holds the limits of accounts, each with its own loop. */
struct HolderFixture
{
    DaemonCore holderCore{settingsOf("holder", holderAddress)};
    FakeStore store{holderCore.loop(), parseSocketAddress(storeAddress)};
    PeerLinks holderLinks{holderCore};
    SidecarRole holder{holderCore, holderLinks, *holderCore.settings().platform};
    DaemonCore askerCore{settingsOf("asker", askerAddress)};
    PeerLinks askerLinks{askerCore};
    QuotaClient client{askerCore, askerLinks};

    explicit HolderFixture(double rate)
    {
        store.put("op", "config", configText(rate));
        REQUIRE(holderLinks.open());
        REQUIRE(holder.open());
        REQUIRE(askerLinks.open());
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        constexpr Duration slice = std::chrono::milliseconds(2);
        constexpr Duration timeout = std::chrono::seconds(20);
        const TimePoint deadline = Loop::now() + timeout;
        while (!isDone() && Loop::now() < deadline) {
            for (DaemonCore *core : {&holderCore, &askerCore}) {
                core->timers().subscribeOnce(slice, [core](TimePoint) {
                    core->loop().stop();
                });
                core->loop().run();
            }
        }
        return isDone();
    }

    QuotaClient::Outcome reserve(const StatedLimit &limit, double cost)
    {
        std::optional<QuotaClient::Outcome> result;
        client.reserve("request", "one", limit, cost, {holderAddress}, [&result](QuotaClient::Outcome outcome, Duration) {
            result = outcome;
        });
        REQUIRE(runUntil([&result]() {
            return result.has_value();
        }));
        return *result;
    }

    /** Reserves until the holder responds by its configuration. */
    bool connect(const StatedLimit &limit)
    {
        const TimePoint deadline = Loop::now() + std::chrono::seconds(20);
        while (Loop::now() < deadline) {
            if (reserve(limit, 1) == QuotaClient::Outcome::Granted) {
                return true;
            }
        }
        return false;
    }
};

}

// review/10: the holder took the limit from its own copy, however old, and the reservation did not name one.
TEST_CASE("[SidecarRole] A holder with an older configuration grants by the limit that an entry daemon states")
{
    HolderFixture fixture(60000);
    REQUIRE(fixture.connect(StatedLimit{5, 60000, 60000}));
    CHECK(fixture.reserve(StatedLimit{8, 1, 1}, 1000) == QuotaClient::Outcome::Granted);
    // The bucket of the lower limit is overdrawn now.
    CHECK(fixture.reserve(StatedLimit{8, 1, 1}, 1000) == QuotaClient::Outcome::Refused);
    CHECK(fixture.reserve(StatedLimit{5, 60000, 60000}, 1000) == QuotaClient::Outcome::Refused);
}

TEST_CASE("[SidecarRole] A holder does not go back to an older limit that an entry daemon states")
{
    HolderFixture fixture(1);
    REQUIRE(fixture.connect(StatedLimit{5, 1, 1}));
    fixture.reserve(StatedLimit{4, 60000, 60000}, 1000);
    CHECK(fixture.reserve(StatedLimit{4, 60000, 60000}, 1000) == QuotaClient::Outcome::Refused);
}
