#include "tests/fakes/proxyfixture.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

struct SignalFixture
{
    ProxyFixture proxy;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    /** Added to the head of each endpoint's answers, by endpoint. */
    std::vector<std::string> headers = {"", ""};
    std::vector<int> statuses = {200, 200};

    SignalFixture()
        : proxy(true, entryDaemonSettings(), false)
    {
        for (std::size_t i = 0; i < std::size(endpointAddresses); ++i) {
            endpoints.push_back(std::make_unique<ScriptedEndpoint>(
                proxy.core.loop(), parseSocketAddress(endpointAddresses[i]), [this, i](const HttpHead &request) {
                    return ScriptedResponse{{"HTTP/1.1 " + std::to_string(statuses[i])
                                             + " Any\r\nCitronspar-Request-Id: " + request.value("Citronspar-Request-Id")
                                             + "\r\nCitronspar-Server-Seal: s\r\n" + headers[i] + "Content-Length: 2\r\n\r\nok"}};
                }));
        }
    }

    std::size_t received(std::size_t index) const
    {
        return endpoints[index]->received.size();
    }

    /** Sends requests, which the other endpoint refuses, until the endpoint has answered one. */
    void reach(std::size_t index, const std::string &path = "/open/x")
    {
        const std::size_t other = 1 - index;
        const std::size_t before = received(index);
        statuses[other] = 503;
        headers[other] = "Citronspar-Not-Run: 1\r\n";
        const TimePoint deadline = Loop::now() + std::chrono::seconds(5);
        while (received(index) == before && Loop::now() < deadline) {
            proxy.sendRequest(path);
            proxy.runFor(std::chrono::milliseconds(20));
        }
        statuses[other] = 200;
        headers[other].clear();
        REQUIRE(received(index) == before + 1);
    }

    /** How many of 20 requests reach the endpoint. */
    std::size_t countReached(std::size_t index)
    {
        const std::size_t before = received(index);
        for (int i = 0; i < 20; ++i) {
            proxy.sendRequest("/open/x");
        }
        return received(index) - before;
    }

    void list(std::size_t index, std::int64_t born)
    {
        nlohmann::json entry = nlohmann::json::parse(makeEntry(endpointAddresses[index]));
        entry["born"] = born;
        proxy.store.put("servers", std::string("i-") + endpointAddresses[index], entry.dump());
        proxy.runFor(std::chrono::milliseconds(900));
    }
};

}

TEST_CASE("[EndpointSignals] An endpoint that says that it leaves gets no new request, until it has started again")
{
    const int status = GENERATE(200, 404, 429, 500, 503);
    const std::string path = GENERATE(std::string("/open/x"), std::string("/once/x"));
    SignalFixture fixture;
    fixture.statuses[0] = status;
    fixture.headers[0] = "Server-Leaving: 1\r\n";
    if (status == 429 || status == 503) {
        fixture.headers[0] += "Citronspar-Not-Run: 1\r\n";
    }
    fixture.reach(0, path);
    CAPTURE(status, path);
    CHECK(fixture.countReached(0) == 0);
    // Its entry stays as it was, is written again, and goes and comes back.
    fixture.list(0, 1000);
    fixture.proxy.store.put("servers", std::string("i-") + endpointAddresses[0], std::string(), true);
    fixture.proxy.runFor(std::chrono::milliseconds(900));
    fixture.list(0, 1000);
    CHECK(fixture.countReached(0) == 0);
    fixture.statuses[0] = 200;
    fixture.headers[0].clear();
    fixture.list(0, 2000);
    fixture.reach(0);
}

TEST_CASE("[EndpointSignals] An endpoint that asks for a wait gets nothing until it is over, whatever else it answers")
{
    SignalFixture fixture;
    fixture.statuses[0] = 503;
    fixture.headers[0] = "Retry-After: 1.5\r\nCitronspar-Not-Run: 1\r\n";
    fixture.reach(0);
    const TimePoint asked = Loop::now();
    fixture.statuses[0] = 200;
    fixture.headers[0].clear();
    CHECK(fixture.countReached(0) == 0);
    // The entry is written again.
    fixture.list(0, 1000);
    CHECK(fixture.countReached(0) == 0);
    fixture.reach(0);
    CHECK(Loop::now() - asked >= std::chrono::milliseconds(1500));
}

TEST_CASE("[EndpointSignals] If all endpoints ask for a wait, callers are refused at once and told the shortest")
{
    SignalFixture fixture;
    fixture.statuses = {503, 503};
    fixture.headers = {"Retry-After: 40\r\nCitronspar-Not-Run: 1\r\n", "Retry-After: 2\r\nCitronspar-Not-Run: 1\r\n"};
    fixture.proxy.sendRequest("/open/x");
    REQUIRE(fixture.received(0) == 1);
    REQUIRE(fixture.received(1) == 1);
    const TimePoint begin = Loop::now();
    const Response response = fixture.proxy.sendRequest("/open/x");
    CHECK(Loop::now() - begin < std::chrono::milliseconds(200));
    CHECK(response.head.status == 503);
    CHECK(std::stod(response.head.value("Retry-After")) > 0);
    CHECK(fixture.received(0) + fixture.received(1) == 2);
}

TEST_CASE("[EndpointSignals] A wait that can't be read, is zero, or comes with another status is none")
{
    const std::string header
        = GENERATE(std::string("Retry-After: soon\r\n"), std::string("Retry-After: -3\r\n"), std::string("Retry-After: 0\r\n"),
                   std::string("Retry-After: nan\r\n"), std::string("Retry-After: \r\n"), std::string("Retry-After: 30\r\n"));
    SignalFixture fixture;
    fixture.statuses[0] = header.find("30") == std::string::npos ? 503 : 404;
    fixture.headers[0] = header;
    fixture.reach(0);
    fixture.statuses[0] = 200;
    fixture.headers[0].clear();
    CAPTURE(header);
    const TimePoint begin = Loop::now();
    fixture.reach(0);
    CHECK(Loop::now() - begin < std::chrono::seconds(1));
}
