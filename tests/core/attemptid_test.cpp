#include "core/attemptid.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[AttemptId] The text form round-trips and malformed text is rejected")
{
    const AttemptId id{123456789012345678, 42};
    CHECK(AttemptId::fromString(id.toString()) == id);
    for (const char *text : {"", "1", "1-", "-1", "1-2x", "x-2", "1-2-3"}) {
        CHECK_FALSE(AttemptId::fromString(text).has_value());
    }
}
