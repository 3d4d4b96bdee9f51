#include "servers/sseframer.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[SseFramer] All complete events are returned unchanged, however the bytes are split")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t chunkSize = 1; chunkSize <= text.size(); ++chunkSize) {
        SseFramer framer;
        std::string output;
        for (std::size_t i = 0; i < text.size(); i += chunkSize) {
            output += framer.add(text.substr(i, chunkSize));
        }
        CHECK(output == text);
        CHECK(framer.lastEventId() == "3");
    }
}

TEST_CASE("[SseFramer] The incomplete event is discarded before a stream is resumed")
{
    SseFramer framer;
    CHECK(framer.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(framer.lastEventId() == "1");
    framer.discardPartial();
    CHECK(framer.add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(framer.lastEventId() == "2");
}

TEST_CASE("[SseFramer] An event of many small pieces is found, and searched only once")
{
    SseFramer framer;
    for (int i = 0; i < 200000; ++i) {
        REQUIRE(framer.add("data: x").empty());
    }
    const std::string event = framer.add("\n\n");
    CHECK(event.size() == 200000U * 7 + 2);
    CHECK(framer.partial().empty());
}
