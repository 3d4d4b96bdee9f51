#include "tests/fakes/proxyfixture.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

// The endpoint resets the connection of the first attempt after this many pauses of the script.
constexpr std::size_t pausesBeforeReset = 30;
// Less than these pauses take.
constexpr std::int64_t heldMs = 50;

std::int64_t statedDeadline(const HttpHead &request)
{
    const std::string text = request.value("Citronspar-Deadline-Ms");
    return text.empty() ? -1 : std::stoll(text);
}

}

TEST_CASE("[ProxyRole] Each attempt is handed the time that the caller and the route have left, and no more")
{
    // The timeout of the route in the fixture's configuration.
    constexpr std::int64_t routeTimeout = 700;
    for (const char *deadline : {"", "600", "5000"}) {
        Settings settings = entryDaemonSettings();
        settings.platform->retrySlack = 1000;
        ProxyFixture proxy(true, settings, false);
        std::vector<std::int64_t> attempts;
        const auto script = [&attempts](const HttpHead &request) {
            attempts.push_back(statedDeadline(request));
            if (attempts.size() == 1) {
                return ScriptedResponse{std::vector<std::string>(pausesBeforeReset), ScriptedResponse::End::Reset};
            }
            return ScriptedResponse{{"HTTP/1.1 200 OK\r\nCitronspar-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n"}};
        };
        std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
        for (const std::string &address : endpointAddresses) {
            endpoints.push_back(std::make_unique<ScriptedEndpoint>(proxy.core.loop(), parseSocketAddress(address), script));
        }
        HttpCall call = proxy.makeCall("/again/x", "good-key");
        call.head.remove("Citronspar-Deadline-Ms");
        if (*deadline != '\0') {
            call.head.set("Citronspar-Deadline-Ms", deadline);
        }
        bool isServed = false;
        proxy.callers.fetch(std::move(call), std::chrono::seconds(3), [&](HttpCallResult, const HttpHead &head, const std::string &) {
            isServed = head.status == 200;
            proxy.core.loop().stop();
        });
        proxy.core.loop().run();
        CAPTURE(std::string(deadline));
        CHECK(isServed);
        REQUIRE(attempts.size() == 2);
        const std::int64_t limit = *deadline == '\0' ? routeTimeout : std::min<std::int64_t>(routeTimeout, std::stoll(deadline));
        CHECK(attempts[0] > 0);
        CHECK(attempts[0] <= limit);
        CHECK(attempts[1] > 0);
        CHECK(attempts[1] <= limit - heldMs);
    }
}
