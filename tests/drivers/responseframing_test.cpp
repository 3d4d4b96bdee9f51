#include "drivers/httppool.h"
#include "tests/fakes/framingtable.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const SocketAddress endpointAddress{"127.0.0.1", 18986};
const std::string innerResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\napprove";

struct Outcome
{
    bool hasEnded = false;
    HttpCallResult result = HttpCallResult::NotSent;
    bool hasHead = false;
    std::string body;
};

}

// review/9, other direction: a response whose end can't be known was passed on as a complete one.
TEST_CASE("[HttpPool] A response whose framing can't be known is not passed on, and its connection is not used again")
{
    const std::vector<fakes::FramedMessage> messages = fakes::framedMessages(innerResponse);
    Loop loop;
    fakes::ScriptedEndpoint endpoint(loop, endpointAddress, [&](const HttpHead &request) {
        const fakes::FramedMessage &message = messages.at(std::stoul(request.target.substr(1)));
        fakes::ScriptedResponse response;
        response.pieces
            = {std::string(message.isHttp10 ? "HTTP/1.0" : "HTTP/1.1") + " 200 OK\r\n" + message.fields + "\r\n" + message.payload};
        return response;
    });
    HttpPool pool(loop);
    std::vector<Outcome> outcomes(messages.size());
    for (std::size_t i = 0; i < messages.size(); ++i) {
        HttpCall call;
        call.target = endpointAddress;
        call.poolKey = std::to_string(i);
        call.head.method = "POST";
        call.head.target = "/" + std::to_string(i);
        HttpPool::Handlers handlers;
        handlers.onHead = [&outcomes, i](const HttpHead &, HttpBodyFraming, std::int64_t) {
            outcomes[i].hasHead = true;
        };
        handlers.onData = [&outcomes, i](std::string_view data) {
            outcomes[i].body.append(data);
        };
        handlers.onEnd = [&outcomes, i](HttpCallResult result, HttpBreakCause) {
            outcomes[i].hasEnded = true;
            outcomes[i].result = result;
        };
        pool.send(std::move(call), std::move(handlers));
    }
    fakes::runUntil(loop, [&]() {
        return std::all_of(outcomes.begin(), outcomes.end(), [](const Outcome &outcome) {
            return outcome.hasEnded;
        });
    });
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const fakes::FramingReading reading = messages[i].reading;
        const Outcome &outcome = outcomes[i];
        INFO((messages[i].isHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ") << messages[i].fields << "body: " << outcome.body);
        const bool isRefused = outcome.hasEnded && outcome.result == HttpCallResult::Broken && !outcome.hasHead && outcome.body.empty();
        const bool isRead = outcome.hasEnded && outcome.result == HttpCallResult::Complete && outcome.body == innerResponse;
        const bool mayBeRead = reading != fakes::FramingReading::Refused;
        const bool mayBeRefused = reading != fakes::FramingReading::Length && reading != fakes::FramingReading::Chunked;
        CHECK(((isRead && mayBeRead) || (isRefused && mayBeRefused)));
    }
}
