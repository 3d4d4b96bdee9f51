#include "tests/fakes/proxyfixture.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;
using Behaviour = FakeEndpoint::Behaviour;

TEST_CASE("[ProxyRole] A request is forwarded unchanged except for its API key, and the complete response is returned")
{
    ProxyFixture proxy;
    const Response response = proxy.sendRequest("/once/x?y=z");
    CHECK(response.head.status == 200);
    CHECK(response.body == FakeEndpoint::completeStream());
    CHECK(response.head.find("Citronspar-Server-Seal") != nullptr);
    REQUIRE(proxy.receivedCount() == 1);
    const FakeEndpoint &endpoint = proxy.endpoints[0]->received.empty() ? *proxy.endpoints[1] : *proxy.endpoints[0];
    const FakeEndpoint::Received &request = endpoint.received.front();
    CHECK(request.body == "the body");
    CHECK(request.head.target == "/once/x?y=z");
    CHECK(request.head.find("Authorization") == nullptr);
    CHECK(request.head.value("Citronspar-Tenant") == "mine");
}

TEST_CASE("[ProxyRole] Unknown keys and routes are rejected, and public routes need no key")
{
    ProxyFixture proxy;
    CHECK(proxy.sendRequest("/once/x", "bad-key").head.status == 401);
    CHECK(proxy.sendRequest("/nowhere/x").head.status == 404);
    CHECK(proxy.receivedCount() == 0);
    CHECK(proxy.sendRequest("/open/x", "bad-key").head.status == 200);
}

TEST_CASE("[ProxyRole] A revoked key is rejected once the store reports it, and all keys are rejected soon after the store stops answering")
{
    ProxyFixture proxy;
    proxy.store.put("op", "config", makeConfig(8, {"other-key"}));
    CHECK(proxy.eventuallyResponds("/once/x", "good-key", 401));
    CHECK(proxy.sendRequest("/once/x", "other-key").head.status == 200);
    // A configuration with an older version is ignored.
    proxy.store.put("op", "config", makeConfig(6, {"good-key"}));
    proxy.runFor(std::chrono::milliseconds(300));
    CHECK(proxy.sendRequest("/once/x").head.status == 401);
    const std::size_t before = proxy.receivedCount();
    proxy.store.dropsRequests = true;
    proxy.runFor(std::chrono::milliseconds(4700));
    CHECK(proxy.sendRequest("/once/x", "other-key").head.status == 503);
    CHECK(proxy.receivedCount() == before);
    CHECK(proxy.sendRequest("/open/x").head.status == 200);
    proxy.store.dropsRequests = false;
    CHECK(proxy.eventuallyResponds("/once/x", "other-key", 200));
}

TEST_CASE(
    "[ProxyRole] A refused request is retried on another endpoint, and only requests that certainly did not run are reported as not run")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::Refuse, Behaviour::Refuse);
    const Response refused = proxy.sendRequest("/once/x");
    CHECK(refused.head.status == 503);
    CHECK(refused.head.find("Retry-After") != nullptr);
    CHECK(proxy.receivedCount() == 2);
    proxy.runFor(std::chrono::milliseconds(200));
    proxy.setBehaviours(Behaviour::AbortBeforeResponse, Behaviour::AbortBeforeResponse);
    const Response lost = proxy.sendRequest("/once/x");
    CHECK(lost.head.status == 502);
    CHECK(proxy.receivedCount() == 3);
}

TEST_CASE("[ProxyRole] Lost and failed idempotent requests are retried once")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::AbortBeforeResponse, Behaviour::SendStream);
    CHECK(proxy.sendRequest("/again/x").head.status == 200);
    proxy.setBehaviours(Behaviour::ServerError, Behaviour::SendStream);
    CHECK(proxy.sendRequest("/again/x").head.status == 200);
    proxy.setBehaviours(Behaviour::ServerError, Behaviour::ServerError);
    const Response failed = proxy.sendRequest("/again/x");
    CHECK(failed.head.status == 500);
    CHECK(failed.body == "failed");
}

TEST_CASE("[ProxyRole] A response without an endpoint seal is never forwarded to the caller")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::Unsigned, Behaviour::Unsigned);
    const Response response = proxy.sendRequest("/once/x");
    CHECK(response.head.status == 502);
    CHECK(response.body.find("not mine") == std::string::npos);
}

TEST_CASE("[ProxyRole] A resumable stream that breaks inside an event resumes on another endpoint without gaps")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::AbortInEvent, Behaviour::SendStream);
    for (int i = 0; i < 4; ++i) {
        const Response response = proxy.sendRequest("/stream/x");
        CHECK(response.result == HttpCallResult::Complete);
        CHECK(response.body == FakeEndpoint::completeStream());
    }
    proxy.setBehaviours(Behaviour::AbortInEvent, Behaviour::AbortInEvent);
    CHECK(proxy.sendRequest("/plain-stream/x").result == HttpCallResult::Broken);
}

TEST_CASE("[ProxyRole] A request to an unresponsive endpoint is abandoned after the route timeout")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::NoResponse, Behaviour::NoResponse);
    // The caller times out after 3 s, the route after 0.7 s.
    const Response response = proxy.sendRequest("/once/x");
    CHECK(response.head.status == 504);
    CHECK(fakes::runUntil(proxy.core.loop(), [&]() {
        return proxy.endpoints[0]->disconnectCount + proxy.endpoints[1]->disconnectCount == 1;
    }));
}

TEST_CASE("[ProxyRole] When the caller disconnects, the connection to the endpoint is closed")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::NoResponse, Behaviour::NoResponse);
    const HttpPool::CallId call = proxy.callers.send(proxy.makeCall("/once/x", "good-key"), HttpPool::Handlers());
    REQUIRE(fakes::runUntil(proxy.core.loop(), [&]() {
        return proxy.receivedCount() == 1;
    }));
    proxy.callers.cancel(call);
    CHECK(fakes::runUntil(proxy.core.loop(), [&]() {
        return proxy.endpoints[0]->disconnectCount + proxy.endpoints[1]->disconnectCount == 1;
    }));
}

TEST_CASE("[ProxyRole] The endpoint list is read again after the store has dropped its history")
{
    ProxyFixture proxy;
    proxy.store.put("servers", "i-" + endpointAddresses[0], "gone", true);
    proxy.store.put("servers", "i-" + endpointAddresses[1], "gone", true);
    CHECK(proxy.eventuallyResponds("/once/x", "good-key", 503));
    proxy.store.put("op", "config", makeConfig(8, {"good-key"}));
    proxy.store.put("servers", "i-" + endpointAddresses[1], makeEntry(endpointAddresses[1]));
    proxy.store.discardHistory();
    CHECK(proxy.eventuallyResponds("/once/x", "good-key", 200));
}

TEST_CASE("[ProxyRole] A store without any history is not flooded with requests")
{
    ProxyFixture proxy;
    proxy.store.oldestFeedVersion = 1000000;
    proxy.store.put("op", "config", makeConfig(8, {"good-key"}));
    proxy.runFor(std::chrono::milliseconds(200));
    const int before = proxy.store.requestCount;
    proxy.runFor(std::chrono::milliseconds(2000));
    CHECK(proxy.store.requestCount - before < 20);
}

TEST_CASE("[ProxyRole] A request that arrives before the first configuration is held briefly")
{
    // A busy machine may exceed the hold time, so the test makes several attempts; without the hold none can succeed.
    bool isServed = false;
    for (int i = 0; i < 10 && !isServed; ++i) {
        ProxyFixture proxy(false);
        proxy.core.timers().subscribeOnce(std::chrono::milliseconds(20), [&](TimePoint) {
            proxy.store.put("op", "config", makeConfig(7, {"good-key"}));
        });
        isServed = proxy.sendRequest("/once/x").head.status == 200;
    }
    CHECK(isServed);
}

TEST_CASE(
    "[ProxyRole] Cached prefixes are shared neither with isolated accounts nor across weights versions, whatever headers the caller sends")
{
    const std::string address = "127.0.0.1:18913";
    ProxyFixture proxy;
    FakeEndpoint engine(proxy.core.loop(), parseSocketAddress(address), "i-engine");
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 1));
    REQUIRE(proxy.eventuallyResponds("/model/x", "good-key", 200));
    const auto versionAndSaltOf = [&](const std::string &key) {
        engine.received.clear();
        HttpCall call = proxy.makeCall("/model/x", key);
        call.head.set("Citronspar-Prompt-Prefix", "aa:2000,bb:1000,cc:500");
        call.head.set("Citronspar-Cache-Salt", "the caller's");
        call.head.set("Citronspar-Kv-Fetch", "127.0.0.1:1");
        call.head.set("Kv-From", "127.0.0.1:1/x");
        Response response;
        proxy.callers.fetch(std::move(call), std::chrono::seconds(3),
                            [&](HttpCallResult result, const HttpHead &head, const std::string &body) {
                                response = Response{result, head, body, true};
                                proxy.core.loop().stop();
                            });
        proxy.core.loop().run();
        REQUIRE(response.head.status == 200);
        REQUIRE(engine.received.size() == 1);
        const HttpHead &head = engine.received.front().head;
        CHECK(head.value("Kv-From").empty());
        CHECK(head.value("Citronspar-Kv-Fetch") != "127.0.0.1:1");
        return head.value("Citronspar-Expect-Version") + " " + head.value("Citronspar-Cache-Salt");
    };
    const std::string shared = versionAndSaltOf("good-key");
    const std::string isolated = versionAndSaltOf("isolated-key-1");
    CHECK(std::set<std::string>{shared, isolated, versionAndSaltOf("isolated-key-2")}.size() == 3);
    CHECK(versionAndSaltOf("isolated-key-1") == isolated);
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 2));
    std::string updated = shared;
    for (int i = 0; i < 100 && updated == shared; ++i) {
        proxy.runFor(std::chrono::milliseconds(50));
        updated = versionAndSaltOf("good-key");
    }
    CHECK(updated.substr(0, 2) == "2 ");
    CHECK(updated.substr(2) != shared.substr(2));
    CHECK(versionAndSaltOf("isolated-key-1").substr(2) != isolated.substr(2));
}

TEST_CASE("[ProxyRole] Without a KV cache store the shared prompt prefix is still fetched from another engine")
{
    ProxyFixture proxy;
    const std::vector<std::string> addresses = {"127.0.0.1:18913", "127.0.0.1:18914"};
    std::vector<std::unique_ptr<FakeEndpoint>> engines;
    for (const std::string &address : addresses) {
        engines.push_back(std::make_unique<FakeEndpoint>(proxy.core.loop(), parseSocketAddress(address), "i-" + address));
        proxy.store.put("servers", "i-" + address, makeEngineEntry(address, 1));
    }
    REQUIRE(proxy.eventuallyResponds("/model/x", "good-key", 200));
    proxy.runFor(std::chrono::milliseconds(1500));
    engines[0]->received.clear();
    engines[1]->received.clear();
    HttpCall call = proxy.makeCall("/model/x", "good-key");
    call.head.set("Citronspar-Prompt-Prefix", "aa:2000,bb:1000,cc:500");
    bool isDone = false;
    proxy.callers.fetch(std::move(call), std::chrono::seconds(3), [&](HttpCallResult, const HttpHead &, const std::string &) {
        isDone = true;
    });
    REQUIRE(fakes::runUntil(proxy.core.loop(), [&]() {
        return isDone;
    }));
    const std::size_t chosen = engines[0]->received.empty() ? 1 : 0;
    REQUIRE(engines[chosen]->received.size() == 1);
    CHECK(engines[chosen]->received.front().head.value("Citronspar-Kv-Fetch") == addresses[1 - chosen]);
    CHECK(engines[chosen]->received.front().head.value("Citronspar-Kv-Save").empty());
}

TEST_CASE("[ProxyRole] A request that has not begun on old weights shortly before the deadline for the new ones is given up")
{
    const std::string address = "127.0.0.1:18913";
    ProxyFixture proxy;
    Settings settings = entryDaemonSettings();
    settings.platform->weightsDeadline = std::chrono::milliseconds(500);
    proxy.role.applySettings(settings);
    FakeEndpoint engine(proxy.core.loop(), parseSocketAddress(address), "i-engine");
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 1));
    REQUIRE(proxy.eventuallyResponds("/model/x", "good-key", 200));
    engine.behaviour = Behaviour::NoResponse;
    engine.received.clear();
    Response response;
    proxy.callers.fetch(proxy.makeCall("/model/x", "good-key"), std::chrono::seconds(4),
                        [&](HttpCallResult result, const HttpHead &head, const std::string &body) {
                            response = Response{result, head, body, true};
                        });
    REQUIRE(fakes::runUntil(proxy.core.loop(), [&]() {
        return engine.received.size() == 1;
    }));
    proxy.store.put("op", "version/m", R"({"model":"m","version":2})");
    CHECK(fakes::runUntil(proxy.core.loop(), [&]() {
        return engine.disconnectCount == 1 && response.isDone;
    }));
    // The request may have begun, so the response must not say that it did not run.
    CHECK(response.head.status == 502);
    // From then on none is sent to the old weights.
    engine.behaviour = Behaviour::SendStream;
    CHECK(proxy.sendRequest("/model/x").head.status == 503);
}

// Guards against a deadline that is fixed when the version is received.
TEST_CASE("[ProxyRole] A request that waits on old weights is given up by the limit in force, also if that is lowered meanwhile")
{
    const std::string address = "127.0.0.1:18913";
    ProxyFixture proxy;
    Settings settings = entryDaemonSettings();
    settings.platform->weightsDeadline = std::chrono::seconds(60);
    proxy.role.applySettings(settings);
    FakeEndpoint engine(proxy.core.loop(), parseSocketAddress(address), "i-engine");
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 1));
    REQUIRE(proxy.eventuallyResponds("/model/x", "good-key", 200));
    engine.behaviour = Behaviour::NoResponse;
    engine.received.clear();
    Response response;
    proxy.callers.fetch(proxy.makeCall("/model/x", "good-key"), std::chrono::seconds(4),
                        [&](HttpCallResult result, const HttpHead &head, const std::string &body) {
                            response = Response{result, head, body, true};
                        });
    REQUIRE(fakes::runUntil(proxy.core.loop(), [&]() {
        return engine.received.size() == 1;
    }));
    proxy.store.put("op", "version/m", R"({"model":"m","version":2})");
    proxy.runFor(std::chrono::milliseconds(200));
    CHECK_FALSE(response.isDone);
    settings.platform->weightsDeadline = std::chrono::milliseconds(300);
    proxy.role.applySettings(settings);
    proxy.runFor(std::chrono::milliseconds(300));
    CHECK(response.isDone);
    CHECK(response.head.status == 502);
}

// Guards against a deadline that a newer version replaces.
TEST_CASE("[ProxyRole] A second weights version does not extend the use of weights that the first one has outdated")
{
    const std::string address = "127.0.0.1:18913";
    ProxyFixture proxy;
    Settings settings = entryDaemonSettings();
    settings.platform->weightsDeadline = std::chrono::milliseconds(3500);
    proxy.role.applySettings(settings);
    FakeEndpoint engine(proxy.core.loop(), parseSocketAddress(address), "i-engine");
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 1));
    REQUIRE(proxy.eventuallyResponds("/model/x", "good-key", 200));
    proxy.store.put("op", "version/m", R"({"model":"m","version":2})");
    proxy.runFor(std::chrono::milliseconds(1000));
    CHECK(proxy.sendRequest("/model/x").head.status == 200);
    proxy.store.put("op", "version/m", R"({"model":"m","version":3})");
    proxy.runFor(std::chrono::milliseconds(1600));
    // By the deadline of the first version alone the engine may not be used any more, by that of the second one it might.
    CHECK(proxy.sendRequest("/model/x").head.status == 503);
    proxy.store.put("servers", "i-engine", makeEngineEntry(address, 2));
    CHECK(proxy.eventuallyResponds("/model/x", "good-key", 200));
}

TEST_CASE("[ProxyRole] While the endpoint list changes constantly it is read rarely, and a leaving endpoint is noticed in time")
{
    Settings settings = entryDaemonSettings();
    settings.platform->drainLimit = std::chrono::milliseconds(2000);
    ProxyFixture proxy(true, settings);
    int changes = 0;
    proxy.core.timers().subscribe(std::chrono::milliseconds(20), [&](TimePoint) {
        ++changes;
        proxy.store.put("servers", "i-changing-" + std::to_string(changes % 5), makeEngineEntry("127.0.0.1:18919", changes));
    });
    proxy.runFor(std::chrono::milliseconds(700));
    const int before = proxy.store.requestCount;
    proxy.runFor(std::chrono::milliseconds(2400));
    // Four polls of the list at the most, and two of the operators' table.
    CHECK(proxy.store.requestCount - before <= 6);
    for (const std::string &address : endpointAddresses) {
        nlohmann::json entry = nlohmann::json::parse(makeEntry(address));
        entry["state"] = "draining";
        proxy.store.put("servers", "i-" + address, entry.dump());
    }
    const TimePoint announcedAt = Loop::now();
    CHECK(proxy.eventuallyResponds("/once/x", "good-key", 503));
    CHECK(Loop::now() - announcedAt < settings.platform->drainLimit);
}

TEST_CASE("[ProxyRole] A request that arrives before the first configuration is served as soon as it is read, whichever table comes last")
{
    // A busy machine may exceed the hold time, so the test makes several attempts.
    const std::string delayedTable = GENERATE("op", "servers");
    bool isServed = false;
    for (int i = 0; i < 5 && !isServed; ++i) {
        DaemonCore core(entryDaemonSettings());
        FakeStore store(core.loop(), parseSocketAddress(storeAddress));
        store.delayedTable = delayedTable;
        store.put("op", "config", makeConfig(7, {"good-key"}));
        FakeEndpoint endpoint(core.loop(), parseSocketAddress(endpointAddresses[0]), "i-one");
        store.put("servers", "i-one", makeEntry(endpointAddresses[0]));
        PeerLinks links(core);
        ProxyRole role(core, links, *core.settings().platform);
        REQUIRE(role.open());
        HttpPool callers(core.loop());
        HttpCall call;
        call.target = parseSocketAddress(frontAddress);
        call.head.method = "GET";
        call.head.target = "/once/x";
        call.head.set("Host", "h");
        call.head.set("Citronspar-Request-Id", "r1");
        call.head.set("Authorization", "Bearer good-key");
        callers.fetch(std::move(call), std::chrono::seconds(3), [&](HttpCallResult, const HttpHead &head, const std::string &) {
            isServed = head.status == 200;
            core.loop().stop();
        });
        core.loop().run();
    }
    CHECK(isServed);
}

TEST_CASE("[ProxyRole] A slow stream is relayed whole, also when its endpoint leaves the list meanwhile, and runs once")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::SlowStream, Behaviour::SlowStream);
    // The list is read by the entry daemon while the stream runs; an endpoint that is silent or late to report is removed from it.
    proxy.core.timers().subscribeOnce(std::chrono::milliseconds(150), [&](TimePoint) {
        for (const std::string &address : endpointAddresses) {
            proxy.store.put("servers", "i-" + address, "gone", true);
        }
    });
    const Response response = proxy.sendRequest("/stream/x");
    CHECK(response.result == HttpCallResult::Complete);
    CHECK(response.body == FakeEndpoint::completeStream());
    CHECK(proxy.receivedCount() == 1);
    CHECK(proxy.endpoints[0]->disconnectCount + proxy.endpoints[1]->disconnectCount == 0);
}

TEST_CASE("[ProxyRole] A stalled stream that sends a byte now and then ends at the route's timeout")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::Stalling, Behaviour::Stalling);
    const TimePoint sentAt = Loop::now();
    const Response response = proxy.sendRequest("/plain-stream/x");
    CHECK(response.head.status == 504);
    CHECK(Loop::now() - sentAt >= std::chrono::milliseconds(700));
    CHECK(fakes::runUntil(proxy.core.loop(), [&]() {
        return proxy.endpoints[0]->disconnectCount + proxy.endpoints[1]->disconnectCount == 1;
    }));
}

TEST_CASE("[ProxyRole] An endpoint that sends an unsigned body without end is cut off at once, and others are served meanwhile")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::EndlessUnsigned, Behaviour::SendStream);
    const TimePoint sentAt = Loop::now();
    for (int i = 0; i < 4; ++i) {
        CHECK(proxy.sendRequest("/again/x").head.status == 200);
    }
    proxy.setBehaviours(Behaviour::EndlessUnsigned, Behaviour::EndlessUnsigned);
    // The request may have run, so the response does not say that it did not.
    CHECK(proxy.sendRequest("/once/x").head.status == 502);
    // Without a limit, the bytes are buffered until the timeout of the route.
    CHECK(proxy.endpoints[0]->writtenBytes + proxy.endpoints[1]->writtenBytes < 8U * 1024 * 1024);
    CHECK(Loop::now() - sentAt < std::chrono::seconds(60));
}

TEST_CASE("[ProxyRole] An endpoint that states a limit on its requests gets no more, and the others take the rest")
{
    ProxyFixture proxy;
    proxy.endpoints[0]->statedLimit = "1";
    // The daemon learns the limit with the first response.
    while (proxy.endpoints[0]->received.empty()) {
        REQUIRE(proxy.sendRequest("/once/x").head.status == 200);
    }
    const std::size_t before = proxy.endpoints[0]->received.size();
    const TimePoint end = Loop::now() + std::chrono::seconds(4);
    int served = 0;
    int sent = 0;
    while (Loop::now() < end) {
        ++sent;
        served += proxy.sendRequest("/once/x").head.status == 200 ? 1 : 0;
        proxy.runFor(std::chrono::milliseconds(20));
    }
    // One and a half times what the limit allows in 4 s, and 5 requests.
    CHECK(proxy.endpoints[0]->received.size() - before <= 11);
    CHECK(served == sent);
    proxy.endpoints[1]->statedLimit = "1";
    proxy.sendRequest("/once/x");
    const Response refused = proxy.sendRequest("/once/x");
    CHECK(refused.head.status == 503);
    CHECK(refused.head.find("Retry-After") != nullptr);
}

TEST_CASE("[ProxyRole] A stream that ends inside an event is resumed on another endpoint or broken off, and never complete")
{
    ProxyFixture proxy;
    proxy.setBehaviours(Behaviour::EndInEvent, Behaviour::SendStream);
    for (int i = 0; i < 4; ++i) {
        const Response response = proxy.sendRequest("/stream/x");
        CHECK(response.result == HttpCallResult::Complete);
        CHECK(response.body == FakeEndpoint::completeStream());
    }
    proxy.setBehaviours(Behaviour::EndInEvent, Behaviour::EndInEvent);
    CHECK(proxy.sendRequest("/stream/x").result == HttpCallResult::Broken);
    CHECK(proxy.sendRequest("/plain-stream/x").result == HttpCallResult::Broken);
}

TEST_CASE("[ProxyRole] A key that was withdrawn while the daemon could not reach the store is rejected, also if the store has come back "
          "from a copy")
{
    ProxyFixture proxy;
    proxy.store.copyTables();
    proxy.store.put("op", "config", makeConfig(8, {"good-key", "second-key"}));
    REQUIRE(proxy.eventuallyResponds("/once/x", "second-key", 200));
    proxy.store.dropsRequests = true;
    proxy.store.restoreCopy();
    // This write gets the version that the lost one had.
    proxy.store.put("op", "config", makeConfig(12, {"second-key"}));
    proxy.store.dropsRequests = false;
    CHECK(proxy.eventuallyResponds("/once/x", "good-key", 401));
    CHECK(proxy.eventuallyResponds("/once/x", "second-key", 200));
}

TEST_CASE("[ProxyRole] Keys are not confirmed by an older copy of the configuration before the operators have written it again")
{
    Settings settings = entryDaemonSettings();
    settings.platform->keyRevocation = std::chrono::milliseconds(1400);
    ProxyFixture proxy(true, settings);
    proxy.store.copyTables();
    proxy.store.dropsRequests = true;
    // The key is withdrawn while the daemon can't reach the store, and the store loses that.
    proxy.store.put("op", "config", makeConfig(8, {"second-key"}));
    proxy.runFor(std::chrono::milliseconds(900));
    proxy.store.restoreCopy();
    proxy.store.dropsRequests = false;
    proxy.core.timers().subscribeOnce(std::chrono::milliseconds(700), [&proxy](TimePoint) {
        proxy.store.put("op", "config", makeConfig(8, {"second-key"}));
    });
    const TimePoint withdrawn = Loop::now() - std::chrono::milliseconds(900);
    while (Loop::now() < withdrawn + std::chrono::milliseconds(3500)) {
        const TimePoint sentAt = Loop::now();
        const bool isAccepted = proxy.sendRequest("/once/x").head.status == 200;
        CHECK_FALSE((isAccepted && sentAt > withdrawn + std::chrono::milliseconds(1400)));
        proxy.runFor(std::chrono::milliseconds(20));
    }
    CHECK(proxy.eventuallyResponds("/once/x", "second-key", 200));
}

TEST_CASE("[ProxyRole] A daemon that starts just after a restore does not accept a key whose withdrawal the store has lost", "[!mayfail]")
{
    ProxyFixture proxy(false);
    proxy.store.put("op", "config", makeConfig(7, {"good-key"}));
    proxy.store.copyTables();
    proxy.store.restoreCopy();
    // Before the copy was restored the key had been withdrawn; the operators have not written that again yet.
    REQUIRE(runUntil(proxy.core.loop(), [&proxy]() {
        return proxy.role.hasInitialState();
    }));
    CHECK(proxy.sendRequest("/once/x").head.status == 503);
}

TEST_CASE("[ProxyRole] A list of several pages is read whole from a store that refuses targets with bytes that a URI can't hold")
{
    DaemonCore core(entryDaemonSettings());
    FakeStore store(core.loop(), parseSocketAddress(storeAddress));
    store.maxRowsPerPage = 2;
    store.put("op", "config", makeConfig(7, {"good-key"}));
    for (const char *key : {"a", "a b", "a?b&c=d", "a%41", "\x01", "\xc3\xbc", "x"}) {
        store.put("servers", key, "of another writer");
    }
    store.put("servers", "z-last", makeEntry(endpointAddresses[0]));
    PeerLinks links(core);
    ProxyRole role(core, links, *core.settings().platform);
    REQUIRE(role.open());
    CHECK(fakes::runUntil(core.loop(), [&]() {
        return role.hasInitialState() && !store.keys("versions").empty();
    }));
}
