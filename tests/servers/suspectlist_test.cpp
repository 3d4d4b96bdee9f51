#include "servers/suspectlist.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[SuspectList] The second crash blocks a request for the block time, and the list is bounded")
{
    const TimePoint start{std::chrono::hours(1)};
    SuspectList list(2, std::chrono::minutes(10), 100);
    CHECK(list.addCrash(1, 100, start) == 1);
    CHECK(list.addCrash(1, 100, start) == 1);
    CHECK(list.isSuspect(1, start));
    CHECK_FALSE(list.isBlocked(1, start));
    list.addCrash(1, 200, start + std::chrono::seconds(1));
    CHECK(list.isBlocked(1, start + std::chrono::seconds(2)));
    CHECK_FALSE(list.isBlocked(1, start + std::chrono::minutes(11)));
    for (std::uint64_t digest = 10; digest < 1000; ++digest) {
        list.addCrash(digest, 100, start + std::chrono::seconds(5));
    }
    CHECK_FALSE(list.isSuspect(10, start + std::chrono::seconds(6)));
}
