#include "main/proxy/proxyrole.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformstandin.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace citronspar;
using fakes::EndpointStandIn;
using fakes::StoreStandIn;
using Behaviour = EndpointStandIn::Behaviour;

namespace
{

const char *const frontAddress = "127.0.0.1:18901";
const char *const readyAddress = "127.0.0.1:18902";
const char *const storeAddress = "127.0.0.1:18903";
const char *const peerAddress = "127.0.0.1:18904";
const std::vector<std::string> endpointAddresses = {"127.0.0.1:18911", "127.0.0.1:18912"};

Settings settingsOf()
{
    Settings settings;
    settings.daemon = "entry-1";
    settings.zone = "a";
    settings.httpListen = frontAddress;
    settings.peerListen = peerAddress;
    settings.table = storeAddress;
    settings.fleetSecret = "a secret of the fleet";
    settings.platform = PlatformSettings();
    settings.platform->readyListen = readyAddress;
    settings.platform->peerPort = 18904;
    settings.platform->retrySlack = 100;
    return settings;
}

std::string configText(std::int64_t version, const std::vector<std::string> &keys)
{
    const auto route = [](const char *prefix, const char *kind, bool isResumable, bool isPublic, const char *service = "app") {
        return nlohmann::json({{"name", prefix},
                               {"host", "h"},
                               {"prefix", prefix},
                               {"routeKind", kind},
                               {"timeoutMs", 700},
                               {"targetLatencyMs", 500},
                               {"priority", 1},
                               {"service", service},
                               {"maxAttempts", 2},
                               {"public", isPublic},
                               {"resumable", isResumable}});
    };
    nlohmann::json config
        = {{"version", version},
           {"routes",
            {route("/once/", "non_idempotent", false, false), route("/again/", "idempotent", false, false),
             route("/stream/", "stream", true, false), route("/plain-stream/", "stream", false, false),
             route("/open/", "idempotent", false, true), route("/model/", "stream", true, false, "engines")}},
           {"services",
            {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 10}},
             {{"name", "engines"}, {"maxConns", 10}, {"engine", {{"kvTokenBytes", 1000}, {"kvCapacityTokens", 100000}}}}}},
           {"limits", nlohmann::json::object()},
           {"tenants",
            {{{"name", "mine"}, {"apiKeys", keys}, {"unit", "tokens"}, {"plainTokens", 1}},
             {{"name", "walled"}, {"apiKeys", {"walled-key"}}, {"isolated", true}},
             {{"name", "walled too"}, {"apiKeys", {"other-walled-key"}}, {"isolated", true}}}}};
    return config.dump();
}

std::string entryText(const std::string &address)
{
    return nlohmann::json({{"service", "app"},
                           {"addr", address},
                           {"zone", "a"},
                           {"version", "v1"},
                           {"slots", 4},
                           {"state", "ready"},
                           {"coldLeftMs", 0},
                           {"sequence", 1},
                           {"born", 1000}})
        .dump();
}

std::string engineEntryText(const std::string &address, std::int64_t weights)
{
    nlohmann::json entry = nlohmann::json::parse(entryText(address));
    entry["service"] = "engines";
    entry["models"] = {{{"name", "m"}, {"version", weights}, {"adapters", nlohmann::json::array()}}};
    return entry.dump();
}

struct Answer
{
    HttpCallEnd end = HttpCallEnd::NotSent;
    HttpHead head;
    std::string body;
    bool isDone = false;
};

/** An entry daemon between a stand-in of the platform and a caller, all on one loop. */
struct World
{
    DaemonCore core;
    StoreStandIn store;
    std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
    PeerLinks links;
    ProxyRole role;
    HttpPool callers;
    int lastRequest = 0;

    explicit World(bool hasConfig = true)
        : core(settingsOf())
        , store(core.loop(), parseSocketAddress(storeAddress))
        , links(core)
        , role(core, links, *core.settings().platform)
        , callers(core.loop())
    {
        if (hasConfig) {
            store.put("op", "config", configText(7, {"good-key"}));
        }
        for (const std::string &address : endpointAddresses) {
            endpoints.push_back(std::make_unique<EndpointStandIn>(core.loop(), parseSocketAddress(address), "i-" + address));
            store.put("servers", "i-" + address, entryText(address));
        }
        store.put("servers", "foreign", "\xff not an entry");
        REQUIRE(role.open());
        REQUIRE(fakes::runUntil(core.loop(), [this, hasConfig]() {
            return role.knowsFleet() || (!hasConfig && store.calls >= 2);
        }));
    }

    /** Asks until the answer has @p status. */
    bool answersAtLast(const std::string &path, const std::string &key, int status)
    {
        for (int i = 0; i < 100; ++i) {
            if (ask(path, key).head.status == status) {
                return true;
            }
            runFor(std::chrono::milliseconds(50));
        }
        return false;
    }

    void runFor(Duration time)
    {
        core.timers().subscribeOnce(time, [this](TimePoint) {
            core.loop().stop();
        });
        core.loop().run();
    }

    HttpCall callTo(const std::string &path, const std::string &key)
    {
        HttpCall call;
        call.target = parseSocketAddress(frontAddress);
        call.poolKey = "caller";
        call.head.method = "POST";
        call.head.target = path;
        call.head.set("Host", "h");
        call.head.set("Citronspar-Request-Id", "r" + std::to_string(++lastRequest));
        call.head.set("Citronspar-Deadline-Ms", "5000");
        call.head.set("Authorization", "Bearer " + key);
        call.body = "the body";
        return call;
    }

    Answer ask(const std::string &path, const std::string &key = "good-key")
    {
        Answer answer;
        callers.fetch(callTo(path, key), std::chrono::seconds(3), [&](HttpCallEnd end, const HttpHead &head, const std::string &body) {
            answer = Answer{end, head, body, true};
            core.loop().stop();
        });
        core.loop().run();
        REQUIRE(answer.isDone);
        return answer;
    }

    void behave(Behaviour first, Behaviour second)
    {
        endpoints[0]->behaviour = first;
        endpoints[1]->behaviour = second;
    }

    std::size_t received() const
    {
        return endpoints[0]->received.size() + endpoints[1]->received.size();
    }
};

}

TEST_CASE("[ProxyRole] A request goes to an endpoint unchanged, without its key, and the answer comes back whole")
{
    World world;
    const Answer answer = world.ask("/once/x?y=z");
    CHECK(answer.head.status == 200);
    CHECK(answer.body == EndpointStandIn::wholeStream());
    CHECK(answer.head.find("Citronspar-Server-Seal") != nullptr);
    REQUIRE(world.received() == 1);
    const EndpointStandIn &endpoint = world.endpoints[0]->received.empty() ? *world.endpoints[1] : *world.endpoints[0];
    const EndpointStandIn::Received &request = endpoint.received.front();
    CHECK(request.body == "the body");
    CHECK(request.head.target == "/once/x?y=z");
    CHECK(request.head.find("Authorization") == nullptr);
    CHECK(request.head.value("Citronspar-Tenant") == "mine");
}

TEST_CASE("[ProxyRole] Unknown keys and routes are refused, public routes need no key")
{
    World world;
    CHECK(world.ask("/once/x", "bad-key").head.status == 401);
    CHECK(world.ask("/nowhere/x").head.status == 404);
    CHECK(world.received() == 0);
    CHECK(world.ask("/open/x", "bad-key").head.status == 200);
}

TEST_CASE("[ProxyRole] A withdrawn key stops at once when the store tells, and soon when it does not answer")
{
    World world;
    world.store.put("op", "config", configText(8, {"other-key"}));
    CHECK(world.answersAtLast("/once/x", "good-key", 401));
    CHECK(world.ask("/once/x", "other-key").head.status == 200);
    // An older version never comes back.
    world.store.put("op", "config", configText(6, {"good-key"}));
    world.runFor(std::chrono::milliseconds(300));
    CHECK(world.ask("/once/x").head.status == 401);
    const std::size_t before = world.received();
    world.store.isSilent = true;
    world.runFor(std::chrono::milliseconds(4700));
    CHECK(world.ask("/once/x", "other-key").head.status == 503);
    CHECK(world.received() == before);
    CHECK(world.ask("/open/x").head.status == 200);
    world.store.isSilent = false;
    CHECK(world.answersAtLast("/once/x", "other-key", 200));
}

TEST_CASE("[ProxyRole] A refused request goes to another endpoint, and 'not run' is said only when it is true")
{
    World world;
    world.behave(Behaviour::Refuse, Behaviour::Refuse);
    const Answer refused = world.ask("/once/x");
    CHECK(refused.head.status == 503);
    CHECK(refused.head.find("Retry-After") != nullptr);
    CHECK(world.received() == 2);
    world.runFor(std::chrono::milliseconds(200));
    world.behave(Behaviour::Lose, Behaviour::Lose);
    const Answer lost = world.ask("/once/x");
    CHECK(lost.head.status == 502);
    CHECK(world.received() == 3);
}

TEST_CASE("[ProxyRole] Lost and failed idempotent requests are tried once more")
{
    World world;
    world.behave(Behaviour::Lose, Behaviour::Answer);
    CHECK(world.ask("/again/x").head.status == 200);
    world.behave(Behaviour::Fail, Behaviour::Answer);
    CHECK(world.ask("/again/x").head.status == 200);
    world.behave(Behaviour::Fail, Behaviour::Fail);
    const Answer failed = world.ask("/again/x");
    CHECK(failed.head.status == 500);
    CHECK(failed.body == "failed");
}

TEST_CASE("[ProxyRole] An answer that no endpoint signed never reaches the caller")
{
    World world;
    world.behave(Behaviour::Unsigned, Behaviour::Unsigned);
    const Answer answer = world.ask("/once/x");
    CHECK(answer.head.status == 502);
    CHECK(answer.body.find("not mine") == std::string::npos);
}

TEST_CASE("[ProxyRole] A resumable stream that breaks inside an event goes on elsewhere without a gap")
{
    World world;
    world.behave(Behaviour::CutInEvent, Behaviour::Answer);
    for (int i = 0; i < 4; ++i) {
        const Answer answer = world.ask("/stream/x");
        CHECK(answer.end == HttpCallEnd::Complete);
        CHECK(answer.body == EndpointStandIn::wholeStream());
    }
    world.behave(Behaviour::CutInEvent, Behaviour::CutInEvent);
    CHECK(world.ask("/plain-stream/x").end == HttpCallEnd::Broken);
}

TEST_CASE("[ProxyRole] A silent endpoint is given up at the route's timeout")
{
    World world;
    world.behave(Behaviour::Silent, Behaviour::Silent);
    // The caller gives up after 3 s, the route after 0.7 s.
    const Answer answer = world.ask("/once/x");
    CHECK(answer.head.status == 504);
    CHECK(fakes::runUntil(world.core.loop(), [&]() {
        return world.endpoints[0]->gone + world.endpoints[1]->gone == 1;
    }));
}

TEST_CASE("[ProxyRole] When the caller leaves, its endpoint is told")
{
    World world;
    world.behave(Behaviour::Silent, Behaviour::Silent);
    const HttpPool::CallId call = world.callers.send(world.callTo("/once/x", "good-key"), HttpPool::Handlers());
    REQUIRE(fakes::runUntil(world.core.loop(), [&]() {
        return world.received() == 1;
    }));
    world.callers.cancel(call);
    CHECK(fakes::runUntil(world.core.loop(), [&]() {
        return world.endpoints[0]->gone + world.endpoints[1]->gone == 1;
    }));
}

TEST_CASE("[ProxyRole] The list is read again when the store has dropped its history")
{
    World world;
    world.store.put("servers", "i-" + endpointAddresses[0], "gone", true);
    world.store.put("servers", "i-" + endpointAddresses[1], "gone", true);
    CHECK(world.answersAtLast("/once/x", "good-key", 503));
    world.store.put("op", "config", configText(8, {"good-key"}));
    world.store.put("servers", "i-" + endpointAddresses[1], entryText(endpointAddresses[1]));
    world.store.forgetHistory();
    CHECK(world.answersAtLast("/once/x", "good-key", 200));
}

TEST_CASE("[ProxyRole] A store that has no history at all is not flooded with questions")
{
    World world;
    world.store.historyStart = 1000000;
    world.store.put("op", "config", configText(8, {"good-key"}));
    world.runFor(std::chrono::milliseconds(200));
    const int before = world.store.calls;
    world.runFor(std::chrono::milliseconds(2000));
    CHECK(world.store.calls - before < 20);
}

TEST_CASE("[ProxyRole] A request that comes before the first configuration waits a moment for it")
{
    // A busy machine may take longer than the moment, so several tries are given; without the wait none can pass.
    bool isServed = false;
    for (int i = 0; i < 10 && !isServed; ++i) {
        World world(false);
        world.core.timers().subscribeOnce(std::chrono::milliseconds(20), [&](TimePoint) {
            world.store.put("op", "config", configText(7, {"good-key"}));
        });
        isServed = world.ask("/once/x").head.status == 200;
    }
    CHECK(isServed);
}

TEST_CASE("[ProxyRole] Cached prefixes are shared neither with an isolated account nor across weights, whatever the caller asks")
{
    const std::string address = "127.0.0.1:18913";
    World world;
    EndpointStandIn engine(world.core.loop(), parseSocketAddress(address), "i-engine");
    world.store.put("servers", "i-engine", engineEntryText(address, 1));
    REQUIRE(world.answersAtLast("/model/x", "good-key", 200));
    const auto saltOf = [&](const std::string &key) {
        engine.received.clear();
        HttpCall call = world.callTo("/model/x", key);
        call.head.set("Citronspar-Prompt-Prefix", "aa:2000,bb:1000,cc:500");
        call.head.set("Citronspar-Cache-Salt", "the caller's");
        call.head.set("Citronspar-Kv-Fetch", "127.0.0.1:1");
        call.head.set("Kv-From", "127.0.0.1:1/x");
        Answer answer;
        world.callers.fetch(std::move(call), std::chrono::seconds(3), [&](HttpCallEnd end, const HttpHead &head, const std::string &body) {
            answer = Answer{end, head, body, true};
            world.core.loop().stop();
        });
        world.core.loop().run();
        REQUIRE(answer.head.status == 200);
        REQUIRE(engine.received.size() == 1);
        const HttpHead &head = engine.received.front().head;
        CHECK(head.value("Kv-From").empty());
        CHECK(head.value("Citronspar-Kv-Fetch") != "127.0.0.1:1");
        return head.value("Citronspar-Expect-Version") + " " + head.value("Citronspar-Cache-Salt");
    };
    const std::string shared = saltOf("good-key");
    const std::string walled = saltOf("walled-key");
    CHECK(std::set<std::string>{shared, walled, saltOf("other-walled-key")}.size() == 3);
    CHECK(saltOf("walled-key") == walled);
    world.store.put("servers", "i-engine", engineEntryText(address, 2));
    std::string newer = shared;
    for (int i = 0; i < 100 && newer == shared; ++i) {
        world.runFor(std::chrono::milliseconds(50));
        newer = saltOf("good-key");
    }
    CHECK(newer.substr(0, 2) == "2 ");
    CHECK(newer.substr(2) != shared.substr(2));
    CHECK(saltOf("walled-key").substr(2) != walled.substr(2));
}

TEST_CASE("[ProxyRole] Without a KV store the shared part of a prompt still comes from another engine")
{
    World world;
    const std::vector<std::string> addresses = {"127.0.0.1:18913", "127.0.0.1:18914"};
    std::vector<std::unique_ptr<EndpointStandIn>> engines;
    for (const std::string &address : addresses) {
        engines.push_back(std::make_unique<EndpointStandIn>(world.core.loop(), parseSocketAddress(address), "i-" + address));
        world.store.put("servers", "i-" + address, engineEntryText(address, 1));
    }
    REQUIRE(world.answersAtLast("/model/x", "good-key", 200));
    world.runFor(std::chrono::milliseconds(1500));
    engines[0]->received.clear();
    engines[1]->received.clear();
    HttpCall call = world.callTo("/model/x", "good-key");
    call.head.set("Citronspar-Prompt-Prefix", "aa:2000,bb:1000,cc:500");
    bool isDone = false;
    world.callers.fetch(std::move(call), std::chrono::seconds(3), [&](HttpCallEnd, const HttpHead &, const std::string &) {
        isDone = true;
    });
    REQUIRE(fakes::runUntil(world.core.loop(), [&]() {
        return isDone;
    }));
    const std::size_t chosen = engines[0]->received.empty() ? 1 : 0;
    REQUIRE(engines[chosen]->received.size() == 1);
    CHECK(engines[chosen]->received.front().head.value("Citronspar-Kv-Fetch") == addresses[1 - chosen]);
    CHECK(engines[chosen]->received.front().head.value("Citronspar-Kv-Save").empty());
}
