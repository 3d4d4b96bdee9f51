#include "servers/keyfreshness.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[KeyFreshness] No request is accepted when the local copy of the keys may be older than the revocation time allows")
{
    constexpr Duration revocation = std::chrono::seconds(5);
    const KeyFreshness freshness(revocation);
    const TimePoint confirmedAt{std::chrono::seconds(100)};
    CHECK_FALSE(freshness.isFresh(timeNever, confirmedAt));
    CHECK(freshness.isFresh(confirmedAt, confirmedAt + std::chrono::seconds(4)));
    // Time is reserved for sending the request to the endpoint.
    CHECK_FALSE(freshness.isFresh(confirmedAt, confirmedAt + revocation - std::chrono::milliseconds(300)));
    // The clock does not stop while the process is suspended.
    CHECK_FALSE(freshness.isFresh(confirmedAt, confirmedAt + std::chrono::minutes(2)));
}
