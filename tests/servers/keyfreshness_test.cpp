#include "servers/keyfreshness.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[KeyFreshness] A key runs nothing when what is known of it could be older than its withdrawal allows")
{
    constexpr Duration revocation = std::chrono::seconds(5);
    const KeyFreshness freshness(revocation);
    const TimePoint asked{std::chrono::seconds(100)};
    CHECK_FALSE(freshness.mayRun(timeNever, asked));
    CHECK(freshness.mayRun(asked, asked + std::chrono::seconds(4)));
    // The request takes some time to the endpoint.
    CHECK_FALSE(freshness.mayRun(asked, asked + revocation - std::chrono::milliseconds(300)));
    // A suspension counts, as the clock runs on in it.
    CHECK_FALSE(freshness.mayRun(asked, asked + std::chrono::minutes(2)));
}
