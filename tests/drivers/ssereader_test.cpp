#include "drivers/ssereader.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;

TEST_CASE("[SseReader] Complete events are returned when bytes arrive one at a time")
{
    SseReader reader;
    std::vector<std::string> events;
    for (const char byte : std::string("data: one\n\n: comment\ndata: two\r\n\r\ndata: thr")) {
        for (const std::string &event : reader.add(std::string(1, byte))) {
            events.push_back(event);
        }
    }
    CHECK(events == std::vector<std::string>{"one", "two"});
}
