#include "tests/fakes/proxyfixture.h"
#include "tests/fakes/scriptedendpoint.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;
using End = ScriptedResponse::End;

namespace
{

const std::vector<HttpBodyFraming> allFramings = {HttpBodyFraming::Length, HttpBodyFraming::Chunked, HttpBodyFraming::ConnectionEnd};
const char *const eventStream = "text/event-stream";

Settings settingsWithRetries()
{
    Settings settings = entryDaemonSettings();
    settings.platform->retrySlack = 1e6;
    return settings;
}

/** The content of a response, in pieces that become chunks if it is sent so. */
struct Content
{
    std::vector<std::string> pieces;

    std::string whole() const
    {
        std::string text;
        for (const std::string &piece : pieces) {
            text += piece;
        }
        return text;
    }

    /** What follows the event with this id; everything for 0. */
    Content after(int id) const
    {
        std::size_t first = 0;
        while (id > 0 && pieces[first++].find("id: " + std::to_string(id)) == std::string::npos) {
        }
        return Content{std::vector<std::string>(pieces.begin() + static_cast<std::ptrdiff_t>(first), pieces.end())};
    }
};

Content makeEvents(const std::string &lineEnd)
{
    Content content{
        {"id: 1\ndata: {\"t\":\"\\u00e9\"}\n\n", ": a comment\n\n", "id: 2\ndata: \xc3\xbc\n\n", "\n", "id: 3\nevent: done\ndata: c\n\n"}};
    for (std::string &piece : content.pieces) {
        for (std::size_t at = piece.find('\n'); at != std::string::npos; at = piece.find('\n', at + lineEnd.size())) {
            piece.replace(at, 1, lineEnd);
        }
    }
    return content;
}

struct Answer
{
    int status = 200;
    HttpBodyFraming framing = HttpBodyFraming::Length;
    Content content;
    std::string contentType;
    bool isSigned = true;

    std::string head(const HttpHead &request) const
    {
        HttpHead head;
        head.status = status;
        head.reason = "Any";
        head.set("Citronspar-Request-Id", request.value("Citronspar-Request-Id"));
        if (isSigned) {
            head.set("Citronspar-Server-Seal", "seal");
        }
        if (!contentType.empty()) {
            head.set("Content-Type", contentType);
        }
        if (framing == HttpBodyFraming::Length) {
            head.set("Content-Length", std::to_string(content.whole().size()));
        } else if (framing == HttpBodyFraming::Chunked) {
            head.set("Transfer-Encoding", "chunked");
        }
        return head.serializeResponse() + "\r\n";
    }

    /** The body as it is sent. */
    std::string body() const
    {
        if (framing != HttpBodyFraming::Chunked) {
            return content.whole();
        }
        std::string text;
        for (const std::string &piece : content.pieces) {
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            text += size + piece + "\r\n";
        }
        return text + "0\r\n\r\n";
    }
};

/** The answer, cut after @p bodyBytes of its body. */
ScriptedResponse cut(const Answer &answer, const HttpHead &request, std::size_t bodyBytes, End end)
{
    ScriptedResponse response;
    response.pieces = {answer.head(request) + answer.body().substr(0, bodyBytes)};
    response.end = end;
    return response;
}

ScriptedResponse whole(const Answer &answer, const HttpHead &request)
{
    return cut(answer, request, std::string::npos, answer.framing == HttpBodyFraming::ConnectionEnd ? End::Close : End::KeepOpen);
}

/** Whether the response is an endpoint's, and not the daemon's own. */
bool isOfEndpoint(const Response &response)
{
    return response.head.find("Citronspar-Server-Seal") != nullptr;
}

/** Whether the caller got an endpoint's response with a length or chunks, which show its end, and received the end. */
bool isFramedAsComplete(const Response &response)
{
    const bool hasFraming = response.head.find("Content-Length") != nullptr || response.head.hasToken("Transfer-Encoding", "chunked");
    return response.result == HttpCallResult::Complete && isOfEndpoint(response) && hasFraming;
}

/** An entry daemon before two endpoints that answer as the test says. */
struct TruncationFixture
{
    ProxyFixture proxy{true, settingsWithRetries(), false};
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    ScriptedEndpoint::Script script;

    TruncationFixture()
    {
        for (const std::string &address : endpointAddresses) {
            endpoints.push_back(
                std::make_unique<ScriptedEndpoint>(proxy.core.loop(), parseSocketAddress(address), [this](const HttpHead &request) {
                    return script(request);
                }));
        }
        script = [](const HttpHead &request) {
            return whole(Answer{200, HttpBodyFraming::Length, Content{{"ok"}}, "text/plain"}, request);
        };
        REQUIRE(proxy.eventuallyResponds("/again/x", "good-key", 200));
    }

    Response send(const std::string &path, const ScriptedEndpoint::Script &newScript)
    {
        script = newScript;
        return proxy.sendRequest(path);
    }

    std::size_t receivedCount() const
    {
        return endpoints[0]->received.size() + endpoints[1]->received.size();
    }

    /** Sends a request whose first attempt gets @p first and whose later ones get @p later. */
    Response sendResumed(const std::string &path, const ScriptedEndpoint::Script &first, const ScriptedEndpoint::Script &later)
    {
        const std::size_t before = receivedCount();
        return send(path, [this, before, first, later](const HttpHead &request) {
            return receivedCount() == before + 1 ? first(request) : later(request);
        });
    }
};

/** The events with data, without the comments and empty events around them. */
std::vector<std::string> dataEvents(const std::string &text)
{
    std::vector<std::string> events;
    SseFramer framer;
    for (const SseEvent &event : framer.add(text)) {
        if (event.hasData) {
            const std::size_t end = event.text.find_last_not_of("\r\n") + 1;
            const std::size_t start = event.text.find("id:");
            events.push_back(event.text.substr(start, end - start));
        }
    }
    return events;
}

/** Whether @p text has at least one event with data, those that it has are the first ones of @p whole, and none is cut. */
bool isWholeEvents(const std::string &text, const Content &whole)
{
    SseFramer framer;
    framer.add(text);
    const std::vector<std::string> events = dataEvents(text);
    const std::vector<std::string> expected = dataEvents(whole.whole());
    return !events.empty() && !framer.isInsideEvent() && events.size() <= expected.size()
        && std::equal(events.begin(), events.end(), expected.begin());
}

/** The id of the last event that a resumed request has; 0 if it names none. */
int lastEventOf(const HttpHead &request)
{
    const std::string id = request.value("Last-Event-Id");
    return id.empty() ? 0 : std::stoi(id);
}

}

TEST_CASE("[TruncatedResponse] However a stream is cut, its caller is not told that it is complete")
{
    TruncationFixture fixture;
    for (const char *lineEnd : {"\n", "\r\n", "\r"}) {
        for (const HttpBodyFraming framing : allFramings) {
            const Answer answer{200, framing, makeEvents(lineEnd), eventStream};
            const std::size_t size = answer.body().size();
            for (const End end : {End::Close, End::Reset, End::HalfClose}) {
                for (std::size_t bytes = 0; bytes < size; ++bytes) {
                    const Response response = fixture.send("/plain-stream/x", [&](const HttpHead &request) {
                        return cut(answer, request, bytes, end);
                    });
                    CAPTURE(std::string(lineEnd), framingName(framing), bytes, static_cast<int>(end), response.body);
                    CHECK_FALSE(isFramedAsComplete(response));
                    if (response.result == HttpCallResult::Complete && isOfEndpoint(response)) {
                        CHECK(framing == HttpBodyFraming::ConnectionEnd);
                        CHECK(end != End::Reset);
                        CHECK(isWholeEvents(response.body, answer.content));
                    }
                }
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A whole stream reaches its caller whole, and is framed as complete if its end was marked")
{
    TruncationFixture fixture;
    for (const char *lineEnd : {"\n", "\r\n", "\r"}) {
        for (const HttpBodyFraming framing : allFramings) {
            for (const char *path : {"/plain-stream/x", "/stream/x", "/once/x"}) {
                const Answer answer{200, framing, makeEvents(lineEnd), eventStream};
                const Response response = fixture.send(path, [&](const HttpHead &request) {
                    return whole(answer, request);
                });
                CAPTURE(std::string(lineEnd), framingName(framing), path);
                CHECK(response.result == HttpCallResult::Complete);
                CHECK(response.body == answer.content.whole());
                CHECK(isFramedAsComplete(response) == (framing != HttpBodyFraming::ConnectionEnd));
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A close is noticed whether it arrives with the last bytes or after them")
{
    TruncationFixture fixture;
    const Answer answer{200, HttpBodyFraming::ConnectionEnd, makeEvents("\n"), eventStream};
    const std::string body = answer.body();
    for (const bool isEndDelayed : {false, true}) {
        for (std::size_t bytes = 1; bytes < body.size(); ++bytes) {
            const Response response = fixture.send("/plain-stream/x", [&](const HttpHead &request) {
                return ScriptedResponse{{answer.head(request) + body.substr(0, bytes / 2), body.substr(bytes / 2, bytes - bytes / 2)},
                                        End::Close,
                                        isEndDelayed};
            });
            CAPTURE(bytes, response.body);
            if (response.result == HttpCallResult::Complete && isOfEndpoint(response)) {
                CHECK(isWholeEvents(response.body, answer.content));
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A stream cut anywhere but between events goes on at a second endpoint without a gap or a repeat")
{
    TruncationFixture fixture;
    const Content events = makeEvents("\n");
    for (const HttpBodyFraming framing : allFramings) {
        const Answer answer{200, framing, events, eventStream};
        for (std::size_t bytes = 0; bytes < answer.body().size(); ++bytes) {
            for (const bool repeatsLast : {false, true}) {
                const Response response = fixture.sendResumed(
                    "/stream/x",
                    [&](const HttpHead &request) {
                        return cut(answer, request, bytes, End::Close);
                    },
                    [&](const HttpHead &request) {
                        const int last = lastEventOf(request);
                        return whole(
                            Answer{200, HttpBodyFraming::Chunked, events.after(repeatsLast ? std::max(last - 1, 0) : last), eventStream},
                            request);
                    });
                CAPTURE(framingName(framing), bytes, repeatsLast, response.body);
                CHECK(response.result == HttpCallResult::Complete);
                const bool isCutAtEvent
                    = framing == HttpBodyFraming::ConnectionEnd && isWholeEvents(answer.body().substr(0, bytes), events);
                CHECK((dataEvents(response.body) == dataEvents(events.whole()) || (isCutAtEvent && !isFramedAsComplete(response))));
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A second endpoint that does not go on with the stream never completes it")
{
    TruncationFixture fixture;
    const Content events = makeEvents("\n");
    const Answer first{200, HttpBodyFraming::Chunked, events, eventStream};
    const Content firstEvents{{events.pieces[0], events.pieces[1], events.pieces[2]}};
    const std::size_t afterSecondEvent = Answer{200, HttpBodyFraming::Chunked, firstEvents, eventStream}.body().size();
    const std::map<std::string, ScriptedEndpoint::Script> continuations = {
        {"starts over",
         [&](const HttpHead &request) {
             return whole(first, request);
         }},
        {"client error",
         [&](const HttpHead &request) {
             return whole(Answer{404, HttpBodyFraming::Length, Content{{"no such thing"}}, "text/plain"}, request);
         }},
        {"large client error",
         [&](const HttpHead &request) {
             return whole(Answer{404, HttpBodyFraming::Length, Content{{std::string(400 * 1024, 'n')}}, "text/plain"}, request);
         }},
        {"server error",
         [&](const HttpHead &request) {
             return whole(Answer{500, HttpBodyFraming::Length, Content{{"failed"}}, "text/plain"}, request);
         }},
        {"another type",
         [&](const HttpHead &request) {
             return whole(Answer{200, HttpBodyFraming::Length, Content{{"{}"}}, "application/json"}, request);
         }},
        {"unsigned",
         [&](const HttpHead &request) {
             return whole(Answer{200, HttpBodyFraming::Chunked, events.after(2), eventStream, false}, request);
         }},
        {"cut again",
         [&](const HttpHead &request) {
             return cut(Answer{200, HttpBodyFraming::ConnectionEnd, events.after(2), eventStream}, request, 20, End::Close);
         }},
        {"without a marked end",
         [&](const HttpHead &request) {
             return whole(Answer{200, HttpBodyFraming::ConnectionEnd, events.after(2), eventStream}, request);
         }},
    };
    for (const std::pair<const std::string, ScriptedEndpoint::Script> &continuation : continuations) {
        const Response response = fixture.sendResumed(
            "/stream/x",
            [&](const HttpHead &request) {
                return cut(first, request, afterSecondEvent, End::Close);
            },
            continuation.second);
        CAPTURE(continuation.first, response.body);
        CHECK(response.result == HttpCallResult::Broken);
        CHECK(isWholeEvents(response.body, events));
    }
}

TEST_CASE("[TruncatedResponse] An error of the next endpoint, of any status and form, never gets into a stream or completes it")
{
    TruncationFixture fixture;
    const Content events = makeEvents("\n");
    const Answer first{200, HttpBodyFraming::Chunked, events, eventStream};
    const Content firstEvents{{events.pieces[0], events.pieces[1], events.pieces[2]}};
    const std::size_t afterSecondEvent = Answer{200, HttpBodyFraming::Chunked, firstEvents, eventStream}.body().size();
    for (const int status : {301, 400, 404, 408, 413, 421, 429, 500, 503, 504}) {
        for (const HttpBodyFraming framing : allFramings) {
            for (const char *const type : {"text/plain", eventStream, ""}) {
                for (const std::string &body : {std::string(), std::string("an error"), std::string("id: 4\ndata: an error\n\n")}) {
                    const bool isSigned = body.size() % 2 == 0;
                    const Response response = fixture.sendResumed(
                        "/stream/x",
                        [&](const HttpHead &request) {
                            return cut(first, request, afterSecondEvent, End::Close);
                        },
                        [&](const HttpHead &request) {
                            return whole(Answer{status, framing, Content{{body}}, type, isSigned}, request);
                        });
                    CAPTURE(status, static_cast<int>(framing), type, body, response.body);
                    CHECK(response.result == HttpCallResult::Broken);
                    CHECK(response.head.status == 200);
                    CHECK(response.body.find("an error") == std::string::npos);
                    CHECK(isWholeEvents(response.body, events));
                }
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A stream without event ids is not resumed once part of it was sent")
{
    TruncationFixture fixture;
    const Content events{{"data: a\n\n", "data: b\n\n"}};
    const Response response = fixture.sendResumed(
        "/stream/x",
        [&](const HttpHead &request) {
            return cut(Answer{200, HttpBodyFraming::ConnectionEnd, events, eventStream}, request, 12, End::Close);
        },
        [&](const HttpHead &request) {
            return whole(Answer{200, HttpBodyFraming::Chunked, events, eventStream}, request);
        });
    CHECK(response.result == HttpCallResult::Broken);
}

TEST_CASE("[TruncatedResponse] An engine that ends after a stream whose end is not marked is evidence of a crash")
{
    for (const bool ends : {false, true}) {
        TruncationFixture fixture;
        fixture.proxy.store.put("servers", "i-" + endpointAddresses[0], makeEngineEntry(endpointAddresses[0], 1));
        REQUIRE(fixture.proxy.eventuallyResponds("/model/x", "good-key", 200));
        const Response response = fixture.send("/model/x", [&](const HttpHead &request) {
            if (ends) {
                fixture.endpoints[0]->stopListening();
            }
            return ScriptedResponse{whole(Answer{200, HttpBodyFraming::ConnectionEnd, makeEvents("\n"), eventStream}, request).pieces,
                                    End::Close, true};
        });
        CHECK(response.result == HttpCallResult::Complete);
        const auto hasEvidence = [&fixture]() {
            return fixture.proxy.store.hasRows("crashes");
        };
        if (ends) {
            CHECK(runUntil(fixture.proxy.core.loop(), hasEvidence));
        } else {
            fixture.proxy.runFor(std::chrono::milliseconds(100));
            CHECK_FALSE(hasEvidence());
        }
    }
}

TEST_CASE("[TruncatedResponse] However a buffered answer is cut, its caller is not told that it is complete")
{
    TruncationFixture fixture;
    const std::map<std::string, Content> contents = {{"application/json", Content{{"{\"a\":[1,2", ",\"\\u00e9\"]}"}}},
                                                     {"text/plain", Content{{"some ", "text"}}},
                                                     {eventStream, makeEvents("\n")}};
    for (const std::pair<const std::string, Content> &content : contents) {
        for (const HttpBodyFraming framing : allFramings) {
            const Answer answer{200, framing, content.second, content.first};
            for (const End end : {End::Close, End::Reset}) {
                for (std::size_t bytes = 0; bytes < answer.body().size(); ++bytes) {
                    const Response response = fixture.send("/once/x", [&](const HttpHead &request) {
                        return cut(answer, request, bytes, end);
                    });
                    CAPTURE(content.first, framingName(framing), bytes, static_cast<int>(end), response.body);
                    CHECK_FALSE(isFramedAsComplete(response));
                    if (response.result == HttpCallResult::Complete && isOfEndpoint(response)) {
                        CHECK(framing == HttpBodyFraming::ConnectionEnd);
                        CHECK(end == End::Close);
                        CHECK(content.first != "application/json");
                        CHECK((content.first != eventStream || isWholeEvents(response.body, answer.content)));
                    }
                }
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A whole answer that looks short reaches its caller")
{
    TruncationFixture fixture;
    const std::vector<std::pair<std::string, std::string>> answers
        = {{"text/plain", ""}, {"", ""}, {"application/json", "{}"}, {"text/plain", "no line end"}, {"", "\xc3"}};
    for (const std::pair<std::string, std::string> &answer : answers) {
        for (const HttpBodyFraming framing : allFramings) {
            const Response response = fixture.send("/once/x", [&](const HttpHead &request) {
                const Content content = answer.second.empty() ? Content() : Content{{answer.second}};
                return whole(Answer{200, framing, content, answer.first}, request);
            });
            CAPTURE(answer.first, answer.second, framingName(framing));
            CHECK(response.result == HttpCallResult::Complete);
            CHECK(response.head.status == 200);
            CHECK(response.body == answer.second);
        }
    }
    // An empty stream whose end is marked has no events; one that ends with its connection was cut after the head.
    for (const HttpBodyFraming framing : allFramings) {
        const Response response = fixture.send("/plain-stream/x", [&](const HttpHead &request) {
            return whole(Answer{200, framing, Content(), eventStream}, request);
        });
        CAPTURE(framingName(framing));
        CHECK((response.head.status == 200) == (framing != HttpBodyFraming::ConnectionEnd));
    }
}

TEST_CASE("[TruncatedResponse] A cut answer that is too large to be buffered is never complete")
{
    TruncationFixture fixture;
    Content lines;
    Content events;
    for (int i = 1; i <= 60; ++i) {
        lines.pieces.push_back(std::string(10000, 'x') + "\n");
        events.pieces.push_back("id: " + std::to_string(i) + "\ndata: " + std::string(10000, 'y') + "\n\n");
    }
    const std::vector<std::pair<std::string, std::pair<std::string, Content>>> cases
        = {{"/once/x", {"text/plain", lines}}, {"/once/x", {eventStream, events}}, {"/plain-stream/x", {eventStream, events}}};
    for (const std::pair<std::string, std::pair<std::string, Content>> &one : cases) {
        for (const HttpBodyFraming framing : allFramings) {
            const Answer answer{200, framing, one.second.second, one.second.first};
            const std::size_t size = answer.body().size();
            for (const std::size_t bytes : {size / 2 + 17, size - 1}) {
                const Response response = fixture.send(one.first, [&](const HttpHead &request) {
                    return cut(answer, request, bytes, End::Close);
                });
                CAPTURE(one.first, one.second.first, framingName(framing), bytes, response.body.size());
                CHECK_FALSE(isFramedAsComplete(response));
                CHECK((one.second.first != eventStream || response.result == HttpCallResult::Broken || response.head.status != 200));
            }
            const Response response = fixture.send(one.first, [&](const HttpHead &request) {
                return whole(answer, request);
            });
            CAPTURE(one.first, one.second.first, framingName(framing));
            CHECK(response.result == HttpCallResult::Complete);
            CHECK(response.body == answer.content.whole());
        }
    }
}

TEST_CASE("[TruncatedResponse] A cut stream with an error status or without a signature is never complete")
{
    TruncationFixture fixture;
    for (const int status : {200, 404, 500}) {
        for (const HttpBodyFraming framing : allFramings) {
            const Answer answer{status, framing, makeEvents("\n"), eventStream, status != 200};
            for (std::size_t bytes = 0; bytes < answer.body().size(); ++bytes) {
                const Response response = fixture.send("/plain-stream/x", [&](const HttpHead &request) {
                    return cut(answer, request, bytes, End::Close);
                });
                CAPTURE(status, framingName(framing), bytes, response.body);
                CHECK_FALSE(isFramedAsComplete(response));
            }
        }
    }
}

TEST_CASE("[TruncatedResponse] A caller that reads slowly gets the whole stream, or sees that it was cut")
{
    TruncationFixture fixture;
    Content events;
    for (int i = 1; i <= 400; ++i) {
        events.pieces.push_back("id: " + std::to_string(i) + "\ndata: " + std::string(20000, 'z') + "\n\n");
    }
    const Answer answer{200, HttpBodyFraming::ConnectionEnd, events, eventStream};
    for (const std::size_t bytes : {answer.body().size(), answer.body().size() - 1, answer.body().size() / 2 + 100}) {
        fixture.script = [&](const HttpHead &request) {
            return cut(answer, request, bytes, End::Close);
        };
        std::string body;
        HttpCallResult result = HttpCallResult::NotSent;
        HttpPool::CallId call = 0;
        HttpPool::Handlers handlers;
        handlers.onHead = [&](const HttpHead &, HttpBodyFraming, std::int64_t) {
            fixture.proxy.callers.pause(call);
            fixture.proxy.core.timers().subscribeOnce(std::chrono::milliseconds(150), [&](TimePoint) {
                fixture.proxy.callers.resume(call);
            });
        };
        handlers.onData = [&](std::string_view data) {
            body.append(data);
        };
        handlers.onEnd = [&](HttpCallResult ended, HttpBreakCause) {
            result = ended;
            fixture.proxy.core.loop().stop();
        };
        call = fixture.proxy.callers.send(fixture.proxy.makeCall("/plain-stream/x", "good-key"), handlers);
        fixture.proxy.core.loop().run();
        CAPTURE(bytes, body.size());
        const bool isWhole = bytes == answer.body().size();
        CHECK((result == HttpCallResult::Complete) == isWhole);
        CHECK((!isWhole || body == events.whole()));
    }
}

TEST_CASE("[TruncatedResponse] A caller that speaks HTTP/1.0 gets no chunks, and sees a reset if the answer was cut")
{
    TruncationFixture fixture;
    const Content events = makeEvents("\n");
    for (const bool isCut : {false, true}) {
        fixture.script = [&](const HttpHead &request) {
            const Answer answer{200, HttpBodyFraming::Chunked, events, eventStream};
            return isCut ? cut(answer, request, answer.body().size() - 12, End::Close) : whole(answer, request);
        };
        std::string text;
        SocketCloseReason reason = SocketCloseReason::Reset;
        TcpSocket::Handlers handlers;
        TcpSocket *caller = nullptr;
        handlers.onConnected = [&]() {
            caller->write("POST /plain-stream/x HTTP/1.0\r\nHost: h\r\nCitronspar-Request-Id: old-1\r\nCitronspar-Deadline-Ms: 5000\r\n"
                          "Authorization: Bearer good-key\r\nContent-Length: 0\r\n\r\n");
        };
        handlers.onData = [&](std::string_view data) {
            text.append(data);
        };
        handlers.onEnd = [&](SocketCloseReason ended) {
            reason = ended;
            fixture.proxy.core.loop().stop();
        };
        TcpSocket socket(fixture.proxy.core.loop(), std::move(handlers));
        caller = &socket;
        REQUIRE(socket.connect(parseSocketAddress(frontAddress)));
        fixture.proxy.core.loop().run();
        CAPTURE(isCut, text);
        CHECK(text.find("chunked") == std::string::npos);
        CHECK((reason == SocketCloseReason::Reset) == isCut);
        const std::string body = text.substr(std::min(text.size(), text.find("\r\n\r\n") + 4));
        CHECK((isCut ? events.whole().rfind(body, 0) == 0 : body == events.whole()));
    }
}
