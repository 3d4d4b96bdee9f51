#include "main/sidecar/sidecarrole.h"
#include "servers/fencingtoken.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformfakes.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

const char *const storeAddress = "127.0.0.1:18931";
const char *const engineAddress = "127.0.0.1:18932";
const char *const peerAddress = "127.0.0.1:18933";

Settings endpointDaemonSettings()
{
    Settings settings;
    settings.daemon = "endpoint-1";
    settings.zone = "a";
    settings.peerListen = peerAddress;
    settings.table = storeAddress;
    settings.engine = engineAddress;
    settings.fleetSecret = "a secret of the fleet";
    settings.platform = PlatformSettings();
    return settings;
}

/** An engine that takes orders to load weights, and refuses those with a lower fencing token than it has seen. */
class FakeOrderTaker
{
private:
    std::int64_t m_weights = 1;
    std::int64_t m_sequence = 0;
    ScriptedEndpoint m_endpoint;

    static ScriptedResponse makeResponse(int status, const std::string &body)
    {
        return ScriptedResponse{
            {"HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}};
    }

    ScriptedResponse handleRequest(const HttpHead &head, const std::string &body)
    {
        if (head.method == "POST") {
            const nlohmann::json order = nlohmann::json::parse(body);
            const std::int64_t fence = order.at("fence").get<std::int64_t>();
            fences.push_back(fence);
            instances.push_back(head.value("Citronspar-Expect-Instance"));
            if (fence < highestFence) {
                return makeResponse(412, "");
            }
            highestFence = fence;
            ++m_sequence;
            m_weights = order.at("version").get<std::int64_t>();
            return makeResponse(202, "");
        }
        const nlohmann::json models = nlohmann::json::array({{{"name", "m"}, {"version", m_weights}}});
        return makeResponse(200, nlohmann::json({{"models", models}, {"sequence", m_sequence}, {"born", 1000}}).dump());
    }

public:
    std::int64_t highestFence = 0;
    std::vector<std::int64_t> fences;
    /** The endpoint that each order was meant for. */
    std::vector<std::string> instances;

    explicit FakeOrderTaker(Loop &loop)
        : m_endpoint(loop, parseSocketAddress(engineAddress), [this](const HttpHead &head) {
            return handleRequest(head, m_endpoint.lastBody);
        })
    {
    }

    std::int64_t weights() const
    {
        return m_weights;
    }
};

std::string wantedWeights(std::int64_t version)
{
    return nlohmann::json({{"model", "m"}, {"version", version}}).dump();
}

/** An endpoint daemon with fakes of the store and its engine, all on one loop. */
struct SidecarFixture
{
    DaemonCore core{endpointDaemonSettings()};
    FakeStore store{core.loop(), parseSocketAddress(storeAddress)};
    FakeOrderTaker engine{core.loop()};
    PeerLinks links{core};
    SidecarRole role{core, links, *core.settings().platform};

    bool loads(std::int64_t version)
    {
        store.put("op", "version/m", wantedWeights(version));
        return runUntil(core.loop(), [this, version]() {
            return engine.weights() == version;
        });
    }
};

}

TEST_CASE("[SidecarRole] An engine takes the orders of a daemon that has started after the store has come back from an older copy")
{
    std::int64_t earlierFence = 0;
    {
        SidecarFixture fixture;
        for (int i = 0; i < 50; ++i) {
            fixture.store.put("other", "row", std::to_string(i));
        }
        REQUIRE(fixture.role.open());
        REQUIRE(fixture.loads(2));
        earlierFence = fixture.engine.highestFence;
    }
    SidecarFixture fixture;
    fixture.store.copyTables();
    fixture.store.restoreCopy();
    fixture.engine.highestFence = earlierFence;
    REQUIRE(fixture.role.open());
    CHECK(fixture.loads(3));
    CHECK(fixture.engine.highestFence > earlierFence);
    CHECK(fixture.core.metrics().counters().count("store eras") == 0);
    fixture.store.copyTables();
    fixture.store.restoreCopy();
    CHECK(fixture.loads(4));
    CHECK(fixture.core.metrics().counters().at("store eras") == 1);
}

TEST_CASE("[SidecarRole] A daemon whose token is lower than its engine has seen gets a new one")
{
    SidecarFixture fixture;
    REQUIRE(fixture.role.open());
    REQUIRE(fixture.loads(2));
    // Another holder has written to the store since, and given an order.
    for (int i = 0; i < 5; ++i) {
        fixture.store.put("other", "row", std::to_string(i));
    }
    fixture.engine.highestFence += 3;
    CHECK(fixture.loads(3));
}

TEST_CASE("[SidecarRole] An entry of another writer at the address of the engine does not divert orders to load weights")
{
    const auto entryOf = [](const std::string &service, std::int64_t startedMs) {
        return nlohmann::json({{"service", service},
                               {"addr", engineAddress},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"slots", 4},
                               {"state", "ready"},
                               {"sequence", 1},
                               {"born", startedMs},
                               {"models", {{{"name", "m"}, {"version", 1}}}}})
            .dump();
    };
    SidecarFixture fixture;
    const nlohmann::json config = {{"version", 1},
                                   {"routes", nlohmann::json::array()},
                                   {"services", {{{"name", "engines"}, {"engine", {{"kvTokenBytes", 1000}, {"kvCapacityTokens", 1000}}}}}},
                                   {"limits", nlohmann::json::object()}};
    fixture.store.put("op", "config", config.dump());
    fixture.store.put("servers", "engine-1", entryOf("engines", 1000));
    fixture.store.put("servers", "foreign-1", entryOf("inventory", 1000));
    fixture.store.put("servers", "foreign-2", entryOf("inventory", 5000));
    fixture.store.put("servers", "foreign-3", std::string(200000, '[') + std::string(200000, ']'));
    REQUIRE(fixture.role.open());
    CHECK(fixture.loads(2));
    fixture.store.put("servers", "foreign-4", entryOf("inventory", 9000));
    CHECK(fixture.loads(3));
    for (const std::string &instance : fixture.engine.instances) {
        CHECK(instance == "engine-1");
    }
}

TEST_CASE("[FencingToken] A token of a later era is higher, whatever the versions are")
{
    CHECK(makeFencingToken(std::nullopt, 7) == 7);
    CHECK(makeFencingToken(1, 5) > makeFencingToken(1, 4));
    CHECK(makeFencingToken(2, 1) > makeFencingToken(1, 1000000));
    CHECK(makeFencingToken(2, 1) > makeFencingToken(1, std::int64_t(1) << 40));
    CHECK(makeFencingToken(1, 1) > makeFencingToken(std::nullopt, 1000000));
}
