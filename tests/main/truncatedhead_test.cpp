#include "tests/fakes/proxyfixture.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;
using End = ScriptedResponse::End;

namespace
{

const char *const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** How the head of an endpoint's answer is written. */
struct HeadForm
{
    std::string name;
    std::string interim;
    std::string lineEnd = "\r\n";
    bool isSigned = true;
    bool isChunked = false;
    int contentLength = 30;

    std::string text(const HttpHead &request) const
    {
        std::string head
            = interim + "HTTP/1.1 200 OK" + lineEnd + "Citronspar-Request-Id: " + request.value("Citronspar-Request-Id") + lineEnd;
        head += isSigned ? "Citronspar-Server-Seal: seal" + lineEnd : std::string();
        head += "Content-Type: text/event-stream" + lineEnd;
        head += isChunked ? "Transfer-Encoding: chunked" + lineEnd : "Content-Length: " + std::to_string(contentLength) + lineEnd;
        return head + lineEnd;
    }
};

std::vector<HeadForm> headForms()
{
    return {
        {"length", "", "\r\n", true, false, 30},
        {"empty body", "", "\r\n", true, false, 0},
        {"chunks", "", "\r\n", true, true, 0},
        {"without a signature", "", "\r\n", false, false, 30},
        {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n", true, false, 30},
        {"after two interim responses", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n", "\r\n", true, false, 30},
        {"LF line ends", "", "\n", true, false, 30},
        {"CR line ends", "", "\r", true, false, 30},
    };
}

std::string wholeAnswer(const HttpHead &request)
{
    const HeadForm form{"whole", "", "\r\n", true, false, 30};
    return form.text(request) + events;
}

/** An entry daemon before two endpoints that answer as the test says. */
struct HeadFixture
{
    ProxyFixture proxy;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    ScriptedEndpoint::Script script;

    static Settings settings()
    {
        Settings settings = entryDaemonSettings();
        settings.platform->retrySlack = 1e6;
        return settings;
    }

    explicit HeadFixture(bool areEngines = false)
        : proxy(true, settings(), false)
    {
        script = [](const HttpHead &request) {
            return ScriptedResponse{{wholeAnswer(request)}, End::KeepOpen, false};
        };
        for (const std::string &address : endpointAddresses) {
            endpoints.push_back(
                std::make_unique<ScriptedEndpoint>(proxy.core.loop(), parseSocketAddress(address), [this](const HttpHead &request) {
                    return script(request);
                }));
            if (areEngines) {
                proxy.store.put("servers", "i-" + address, makeEngineEntry(address, 1));
            }
        }
        REQUIRE(proxy.eventuallyResponds(areEngines ? "/model/x" : "/again/x", "good-key", 200));
    }

    std::size_t receivedCount() const
    {
        return endpoints[0]->received.size() + endpoints[1]->received.size();
    }

    /** Sends a request whose first @p cutCount attempts get the head cut after @p bytes. */
    Response send(const std::string &path, const HeadForm &form, std::size_t bytes, End end, std::size_t cutCount)
    {
        const std::size_t before = receivedCount();
        script = [this, &form, bytes, end, before, cutCount](const HttpHead &request) {
            if (receivedCount() <= before + cutCount) {
                return ScriptedResponse{{form.text(request).substr(0, bytes)}, end, false};
            }
            return ScriptedResponse{{wholeAnswer(request)}, End::KeepOpen, false};
        };
        return proxy.sendRequest(path);
    }

    std::size_t headSize(const HeadForm &form) const
    {
        HttpHead request;
        request.set("Citronspar-Request-Id", "r" + std::to_string(proxy.lastRequest + 1));
        return form.text(request).size();
    }
};

bool isSuccess(const Response &response)
{
    return response.head.status >= 200 && response.head.status < 300;
}

}

TEST_CASE("[TruncatedHead] An endpoint that stops in the head of its answer gives its caller no successful answer")
{
    HeadFixture fixture;
    for (const HeadForm &form : headForms()) {
        for (const std::string &path :
             {std::string("/once/x"), std::string("/again/x"), std::string("/stream/x"), std::string("/plain-stream/x")}) {
            for (const End end : {End::Close, End::Reset, End::HalfClose}) {
                const std::size_t step = path == "/once/x" && end == End::Close ? 1 : 11;
                for (std::size_t bytes = 0; bytes < fixture.headSize(form); bytes += step) {
                    const Response response = fixture.send(path, form, bytes, end, 100);
                    CAPTURE(form.name, path, static_cast<int>(end), bytes, response.body);
                    CHECK(response.result == HttpCallResult::Complete);
                    CHECK(response.head.status == 502);
                    CHECK(response.head.find("Citronspar-Server-Seal") == nullptr);
                }
            }
        }
    }
}

TEST_CASE("[TruncatedHead] An engine that stops in the head of its answer gives its caller no successful answer")
{
    for (const HeadForm &form : headForms()) {
        for (const End end : {End::Close, End::Reset, End::HalfClose}) {
            HeadFixture fixture(true);
            for (std::size_t bytes = 0; bytes < fixture.headSize(form); bytes += 23) {
                const std::size_t before = fixture.receivedCount();
                const Response response = fixture.send("/model/x", form, bytes, end, 100);
                CAPTURE(form.name, static_cast<int>(end), bytes, response.body);
                // Engines that have failed are avoided; a request that was sent to none of them is refused as not run.
                CHECK(response.head.status == (fixture.receivedCount() == before ? 503 : 502));
                CHECK(response.head.find("Citronspar-Server-Seal") == nullptr);
            }
        }
    }
}

TEST_CASE("[TruncatedHead] A request whose answer stopped in its head is sent once more where its route allows it")
{
    HeadFixture fixture;
    for (const HeadForm &form : headForms()) {
        for (const std::string &path : {std::string("/again/x"), std::string("/stream/x"), std::string("/once/x")}) {
            for (const End end : {End::Close, End::Reset, End::HalfClose}) {
                for (std::size_t bytes = 0; bytes < fixture.headSize(form); bytes += 13) {
                    const std::size_t before = fixture.receivedCount();
                    const Response response = fixture.send(path, form, bytes, end, 1);
                    CAPTURE(form.name, path, static_cast<int>(end), bytes, response.body);
                    const bool mayRepeat = path != "/once/x";
                    CHECK(response.head.status == (mayRepeat ? 200 : 502));
                    CHECK((response.body == events) == mayRepeat);
                    CHECK(fixture.receivedCount() - before == (mayRepeat ? 2U : 1U));
                }
            }
        }
    }
}

TEST_CASE("[TruncatedHead] An endpoint that falls silent in the head of its answer gives its caller no successful answer")
{
    HeadFixture fixture;
    const HeadForm form = headForms().front();
    const std::size_t size = fixture.headSize(form);
    for (const std::size_t bytes : {std::size_t(0), std::size_t(9), std::size_t(17), size - 20, size - 3, size - 1}) {
        const Response response = fixture.send("/once/x", form, bytes, End::KeepOpen, 100);
        CAPTURE(bytes, response.body);
        CHECK(response.head.status == 504);
    }
}

TEST_CASE("[TruncatedHead] A stream that goes on at an endpoint which stops in the head of its answer is not ended as whole")
{
    HeadFixture fixture;
    const HeadForm begun{"begun", "", "\r\n", true, true, 0};
    for (const HeadForm &form : headForms()) {
        for (const End end : {End::Close, End::Reset, End::HalfClose}) {
            for (std::size_t bytes = 0; bytes < fixture.headSize(form); bytes += 17) {
                const std::size_t before = fixture.receivedCount();
                fixture.script = [&](const HttpHead &request) {
                    const std::string firstEvent = "f\r\nid: 1\ndata: a\n\n\r\n";
                    const bool isFirst = fixture.receivedCount() == before + 1;
                    const std::string text = isFirst ? begun.text(request) + firstEvent : form.text(request).substr(0, bytes);
                    return ScriptedResponse{{text}, isFirst ? End::Close : end, false};
                };
                const Response response = fixture.proxy.sendRequest("/stream/x");
                CAPTURE(form.name, static_cast<int>(end), bytes, response.body);
                CHECK_FALSE((response.result == HttpCallResult::Complete && isSuccess(response)));
                CHECK(fixture.receivedCount() - before == 2);
            }
        }
    }
}
