#include "core/timeline.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;

TEST_CASE("[Timeline] The newest events are retained")
{
    Timeline timeline(3);
    for (int i = 0; i < 5; ++i) {
        timeline.add(TimelineEvent{{}, "d", "p", std::to_string(i), "", ""});
    }
    REQUIRE(timeline.events().size() == 3);
    CHECK(timeline.events().front().what == "2");
}
