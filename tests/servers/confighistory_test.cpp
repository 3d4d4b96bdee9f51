#include "servers/confighistory.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[ConfigHistory] It returns the patches since a version, or nullopt if one is not available")
{
    ConfigHistory history(3);
    CHECK_FALSE(history.since(0).has_value());
    for (std::int64_t version = 5; version <= 9; ++version) {
        history.add(ConfigPatch{version, std::to_string(version)});
    }
    CHECK_FALSE(history.since(5).has_value());
    REQUIRE(history.since(6).has_value());
    CHECK(history.since(6)->size() == 3);
    CHECK(history.since(8)->front().text == "9");
    CHECK(history.since(9)->empty());
    CHECK_FALSE(history.since(10).has_value());
}

TEST_CASE("[ConfigHistory] A skipped version drops the patches before it")
{
    ConfigHistory history(10);
    history.add(ConfigPatch{5, "5"});
    history.add(ConfigPatch{7, "7"});
    CHECK_FALSE(history.since(4).has_value());
    CHECK(history.since(6)->size() == 1);
}
