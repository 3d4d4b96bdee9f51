#include "servers/eventcutter.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[EventCutter] All complete events are returned unchanged, however the bytes are split")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t chunkSize = 1; chunkSize <= text.size(); ++chunkSize) {
        EventCutter framer;
        std::string output;
        for (std::size_t i = 0; i < text.size(); i += chunkSize) {
            output += framer.add(text.substr(i, chunkSize));
        }
        CHECK(output == text);
        CHECK(framer.lastId() == "3");
    }
}

TEST_CASE("[EventCutter] The incomplete event is discarded before a stream is resumed")
{
    EventCutter framer;
    CHECK(framer.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(framer.lastId() == "1");
    framer.dropPartial();
    CHECK(framer.add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(framer.lastId() == "2");
}
