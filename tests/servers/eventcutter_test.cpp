#include "servers/eventcutter.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[EventCutter] Only whole events are passed on, however the bytes arrive")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        EventCutter cutter;
        std::string passed;
        for (std::size_t i = 0; i < text.size(); i += step) {
            passed += cutter.add(text.substr(i, step));
        }
        CHECK(passed == text);
        CHECK(cutter.lastId() == "3");
    }
}

TEST_CASE("[EventCutter] What is partial is dropped when a stream goes on elsewhere")
{
    EventCutter cutter;
    CHECK(cutter.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cutter.lastId() == "1");
    cutter.dropPartial();
    CHECK(cutter.add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(cutter.lastId() == "2");
}
