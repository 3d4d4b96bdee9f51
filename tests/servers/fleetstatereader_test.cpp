#include "servers/fleetstatereader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace citronspar;

TEST_CASE("[FleetStateReader] Exceptions override the defaults for their target only")
{
    const nlohmann::json none = nlohmann::json::object();
    nlohmann::json document
        = {{"roster", {"a"}}, {"accounts", none}, {"keys", none}, {"routes", none}, {"endpoints", none}, {"holders", none}};
    document["defaults"] = {{"maxAttempts", 2}, {"deadlineMilliseconds", 500}};
    document["exceptions"]["e1"] = {{"target", "mill-a"}, {"set", {{"maxAttempts", 5}}}, {"reason", "long logs"}};
    document["exceptions"]["e2"] = {{"target", "mill-a"}, {"set", {{"maxOutputTokens", 7}}}, {"reason", "short answers"}};
    FleetStateReader reader;
    const std::shared_ptr<const FleetState> state = reader.read(1, document);
    REQUIRE(state != nullptr);
    CHECK(state->settingsFor("mill-a").maxAttempts == 5);
    CHECK(state->settingsFor("mill-a").maxOutputTokens == 7);
    CHECK(state->settingsFor("mill-a").deadline == std::chrono::milliseconds(500));
    CHECK(state->settingsFor("mill-b").maxAttempts == 2);
    document["exceptions"]["e1"].erase("reason");
    CHECK(reader.read(1, document) == nullptr);
}

TEST_CASE("[FleetStateReader] An invalid document is rejected with the path of the error")
{
    FleetStateReader reader;
    CHECK(reader.read(1, nlohmann::json::object()) == nullptr);
    nlohmann::json document = {{"roster", {"a"}},
                               {"accounts", {{"x", {{"tokensPerSecond", "fast"}, {"burstTokens", 1}}}}},
                               {"keys", nlohmann::json::object()},
                               {"routes", nlohmann::json::object()},
                               {"endpoints", nlohmann::json::object()},
                               {"holders", nlohmann::json::object()}};
    CHECK(reader.read(1, document) == nullptr);
    CHECK(reader.lastError().find("tokensPerSecond") != std::string::npos);
    document["accounts"] = nlohmann::json::object();
    document["unknownMember"] = 1;
    CHECK(reader.read(1, document) == nullptr);
    document.erase("unknownMember");
    CHECK(reader.read(1, document) != nullptr);
}
