#include "core/errorkind.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[ErrorKind] Each kind is the index of its entry and is found by its name")
{
    for (int value = 0; value <= static_cast<int>(ErrorKind::VersionConflict); ++value) {
        const ErrorKind kind = static_cast<ErrorKind>(value);
        CHECK(errorResponse(kind).kind == kind);
        CHECK(errorKindFromName(errorResponse(kind).name) == kind);
    }
    CHECK_FALSE(errorKindFromName("unknown kind").has_value());
}
