#include "tests/fakes/proxyfixture.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

constexpr Duration grace = std::chrono::seconds(2);

struct SentRequest
{
    std::string id;
    std::string path;
    Response response;
};

/** An entry daemon whose routes wait for much longer than its grace, with
 * callers that keep sending. */
struct StoppingFixture
{
    ProxyFixture proxy;
    std::vector<std::unique_ptr<SentRequest>> requests;

    static Settings settings()
    {
        Settings settings = entryDaemonSettings();
        settings.platform->stopGrace = grace;
        return settings;
    }

    StoppingFixture()
        : proxy(true, settings())
    {
        nlohmann::json config = nlohmann::json::parse(makeConfig(8, {"good-key", "new-key"}));
        for (nlohmann::json &route : config["routes"]) {
            route["timeoutMs"] = 10000;
        }
        proxy.store.put("op", "config", config.dump());
        REQUIRE(proxy.eventuallyResponds("/again/x", "new-key", 200));
        proxy.setBehaviours(FakeEndpoint::Behaviour::NoResponse, FakeEndpoint::Behaviour::NoResponse);
        for (const std::unique_ptr<FakeEndpoint> &endpoint : proxy.endpoints) {
            endpoint->received.clear();
        }
    }

    SentRequest &send(const std::string &path)
    {
        HttpCall call = proxy.makeCall(path, "good-key");
        call.head.set("Citronspar-Deadline-Ms", "10000");
        requests.push_back(std::make_unique<SentRequest>(SentRequest{call.head.value("Citronspar-Request-Id"), path, Response()}));
        SentRequest &request = *requests.back();
        proxy.callers.fetch(std::move(call), std::chrono::seconds(20),
                            [&request](HttpCallResult result, const HttpHead &head, const std::string &body) {
                                request.response = Response{result, head, body, true};
                            });
        return request;
    }

    /** How often endpoints have received the request. */
    std::size_t arrivals(const std::string &id) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<FakeEndpoint> &endpoint : proxy.endpoints) {
            for (const FakeEndpoint::Received &received : endpoint->received) {
                count += received.head.value("Citronspar-Request-Id") == id ? 1 : 0;
            }
        }
        return count;
    }

    /** Runs until the process would exit, and until what it has sent has arrived.
     */
    void runUntilExit()
    {
        REQUIRE(runUntil(proxy.core.loop(), [this]() {
            return proxy.role.isIdle();
        }));
        proxy.runFor(std::chrono::milliseconds(100));
    }
};

} // namespace

TEST_CASE("[ProxyRole] In a planned stop each request that was read is "
          "answered before the exit, and refused only if it has not run")
{
    StoppingFixture fixture;
    const std::vector<std::string> paths = {"/once/x", "/again/x", "/stream/x", "/plain-stream/x"};
    fixture.proxy.role.beginStop();
    const TimerService::TimerId sending = fixture.proxy.core.timers().subscribe(std::chrono::milliseconds(20), [&](TimePoint) {
        if (!fixture.proxy.role.isIdle()) {
            fixture.send(paths[fixture.requests.size() % paths.size()]);
        }
    });
    fixture.runUntilExit();
    fixture.proxy.core.timers().unsubscribe(sending);
    std::size_t arrived = 0;
    std::size_t unanswered = 0;
    std::size_t falselyRefused = 0;
    std::size_t repeated = 0;
    for (const std::unique_ptr<SentRequest> &request : fixture.requests) {
        const std::size_t arrivals = fixture.arrivals(request->id);
        const Response &response = request->response;
        arrived += arrivals > 0 ? 1 : 0;
        unanswered += !response.isDone || response.result != HttpCallResult::Complete ? 1 : 0;
        falselyRefused += response.head.status == 503 && arrivals > 0 ? 1 : 0;
        repeated += request->path == "/once/x" && arrivals > 1 ? 1 : 0;
    }
    CAPTURE(fixture.requests.size());
    CHECK(arrived > 0);
    CHECK(arrived < fixture.requests.size());
    CHECK(unanswered == 0);
    CHECK(falselyRefused == 0);
    CHECK(repeated == 0);
}

TEST_CASE("[ProxyRole] A stream that has begun is broken off visibly at the "
          "end of the grace")
{
    StoppingFixture fixture;
    fixture.proxy.setBehaviours(FakeEndpoint::Behaviour::SlowStream, FakeEndpoint::Behaviour::SlowStream);
    for (const std::unique_ptr<FakeEndpoint> &endpoint : fixture.proxy.endpoints) {
        endpoint->lastEventId = 1000;
    }
    const SentRequest &request = fixture.send("/plain-stream/x");
    fixture.proxy.role.beginStop();
    fixture.runUntilExit();
    CHECK(fixture.arrivals(request.id) == 1);
    CHECK(request.response.isDone);
    CHECK(request.response.result == HttpCallResult::Broken);
}

TEST_CASE("[ProxyRole] A request is not sent to another endpoint when too "
          "little of the grace is left")
{
    StoppingFixture fixture;
    const SentRequest &request = fixture.send("/again/x");
    REQUIRE(runUntil(fixture.proxy.core.loop(), [&]() {
        return fixture.arrivals(request.id) == 1;
    }));
    fixture.proxy.role.beginStop();
    fixture.proxy.runFor(grace / 2);
    FakeEndpoint &first = *fixture.proxy.endpoints[0];
    std::unique_ptr<FakeEndpoint> &running = fixture.proxy.endpoints[first.received.empty() ? 1 : 0];
    const FakeEndpoint &other = *fixture.proxy.endpoints[first.received.empty() ? 0 : 1];
    running = std::make_unique<FakeEndpoint>(fixture.proxy.core.loop(), SocketAddress{"127.0.0.1", 18913}, "i-moved");
    fixture.runUntilExit();
    CHECK(other.received.empty());
    CHECK(request.response.isDone);
    CHECK(request.response.head.status == 502);
}
