#include "servers/sseframer.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;

namespace
{

std::string textOf(const std::vector<SseEvent> &events)
{
    std::string text;
    for (const SseEvent &event : events) {
        text += event.text;
    }
    return text;
}

}

TEST_CASE("[SseFramer] All complete events are returned unchanged, however the bytes are split")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\r\rid:4\rdata\r\n\n: comment\n\n\n";
    for (std::size_t chunkSize = 1; chunkSize <= text.size(); ++chunkSize) {
        SseFramer framer;
        std::vector<SseEvent> events;
        for (std::size_t i = 0; i < text.size(); i += chunkSize) {
            for (const SseEvent &event : framer.add(text.substr(i, chunkSize))) {
                events.push_back(event);
            }
        }
        CAPTURE(chunkSize);
        REQUIRE(events.size() == 6);
        CHECK(textOf(events) + framer.partial() == text);
        CHECK(events[0].id == "1");
        CHECK(events[1].id == "2");
        CHECK(events[2].id == "3");
        CHECK(events[3].id == "4");
        CHECK(events[3].hasData);
        CHECK_FALSE(events[4].hasData);
        CHECK_FALSE(events[5].id.has_value());
        CHECK_FALSE(framer.isInsideEvent());
    }
}

TEST_CASE("[SseFramer] A stream that ends inside an event is told from one that ends after it")
{
    for (const std::string &lineEnd : {std::string("\n"), std::string("\r\n"), std::string("\r")}) {
        std::string event = "id: 1";
        event.append(lineEnd).append("data: a").append(lineEnd).append(lineEnd);
        // A lone CR is a line end, so the last LF of a CRLF is not needed.
        const std::size_t last = lineEnd == "\r\n" ? event.size() - 1 : event.size();
        for (std::size_t size = 1; size <= event.size(); ++size) {
            SseFramer framer;
            framer.add(event + event.substr(0, size));
            CAPTURE(size);
            CHECK(framer.isInsideEvent() == (size < last));
        }
    }
    for (const char *rest : {"", "\n", "\r\n", ": comment\n"}) {
        SseFramer framer;
        framer.add(std::string("data: a\n\n") + rest);
        CHECK_FALSE(framer.isInsideEvent());
        CHECK(framer.hasData());
    }
    SseFramer framer;
    framer.add("data: a\n\n: comm");
    CHECK(framer.isInsideEvent());
}

TEST_CASE("[SseFramer] An event of many small pieces is found, and searched only once")
{
    SseFramer framer;
    for (int i = 0; i < 200000; ++i) {
        REQUIRE(framer.add("data: x").empty());
    }
    const std::vector<SseEvent> events = framer.add("\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events.front().text.size() == 200000U * 7 + 2);
    CHECK(framer.partial().empty());
}
