#include "tests/fakes/proxyfixture.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;

namespace
{

struct RefusalFixture
{
    ProxyFixture proxy;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    ScriptedEndpoint::Script firstScript = [](const HttpHead &request) {
        return ScriptedResponse{{answer(request.value("Citronspar-Request-Id"))}};
    };
    /** What the endpoints answer after their first request. */
    ScriptedEndpoint::Script script;

    RefusalFixture()
        : proxy(true, entryDaemonSettings(), false)
    {
        for (const std::string &address : endpointAddresses) {
            const std::shared_ptr<int> count = std::make_shared<int>(0);
            endpoints.push_back(
                std::make_unique<ScriptedEndpoint>(proxy.core.loop(), parseSocketAddress(address), [this, count](const HttpHead &request) {
                    return ++*count == 1 ? firstScript(request) : script(request);
                }));
        }
    }

    std::size_t receivedCount() const
    {
        return endpoints[0]->received.size() + endpoints[1]->received.size();
    }

    static std::string answer(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Server-Seal: s\r\nContent-Length: 4\r\n\r\nmine";
    }

    /** @param id of the request that is refused; empty for a refusal without one */
    static std::string refusal(int status, const std::string &id)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + (id.empty() ? "" : "Citronspar-Request-Id: " + id + "\r\n")
            + "Citronspar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    }
};

}

TEST_CASE("[RepeatedRefusal] A refusal of an earlier request on a kept connection is not taken for one of the next request")
{
    const int status = GENERATE(429, 503, 421);
    const std::string id = GENERATE(std::string(), std::string("earlier"));
    const std::string order = GENERATE(std::string("before"), std::string("together"), std::string("split"), std::string("alone"));
    RefusalFixture fixture;
    fixture.script = [&](const HttpHead &request) {
        const std::string refusal = RefusalFixture::refusal(status, id);
        const std::string answer = RefusalFixture::answer(request.value("Citronspar-Request-Id"));
        const std::map<std::string, std::vector<std::string>> pieces = {{"before", {refusal, answer}},
                                                                        {"together", {refusal + answer}},
                                                                        {"split", {refusal.substr(0, 20), refusal.substr(20) + answer}},
                                                                        {"alone", {refusal}}};
        return ScriptedResponse{pieces.at(order), order == "alone" ? ScriptedResponse::End::Close : ScriptedResponse::End::KeepOpen};
    };
    // Both endpoints have a kept connection after these.
    for (int i = 0; i < 6 && (fixture.endpoints[0]->received.empty() || fixture.endpoints[1]->received.empty()); ++i) {
        fixture.proxy.sendRequest("/once/x");
    }
    const std::size_t before = fixture.receivedCount();
    const Response response = fixture.proxy.sendRequest("/once/x");
    CAPTURE(status, id, order);
    // The endpoint may have run the request, so it must neither be reported as not run nor run elsewhere.
    CHECK((response.head.status == 200 || response.head.status == 502));
    CHECK(fixture.receivedCount() == before + 1);
}

TEST_CASE("[RepeatedRefusal] The first answer on a new connection needs no id")
{
    RefusalFixture fixture;
    fixture.firstScript = [](const HttpHead &) {
        return ScriptedResponse{{RefusalFixture::refusal(503, std::string())}, ScriptedResponse::End::Close};
    };
    CHECK(fixture.proxy.sendRequest("/once/x").head.status == 503);
    CHECK(fixture.receivedCount() == 2);
}
