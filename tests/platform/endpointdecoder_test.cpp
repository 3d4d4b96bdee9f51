#include "platform/endpointdecoder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace citronspar;
using namespace citronspar::platform;

namespace
{

nlohmann::json endpointRow()
{
    return nlohmann::json::parse(
        R"({"service":"pool","addr":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,
        "stage":"colocated","models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1778159551252})");
}

}

TEST_CASE("[EndpointDecoder] A row written by an endpoint is decoded")
{
    const std::optional<ListedEndpoint> endpoint = decodeListedEndpoint("i-1", endpointRow().dump());
    REQUIRE(endpoint.has_value());
    CHECK(endpoint->id == "i-1");
    CHECK(endpoint->address == "10.0.0.9:8080");
    CHECK(endpoint->weightsVersion == 3);
    CHECK(endpoint->startedMs == 1778159551252);
    CHECK_FALSE(endpoint->isDraining);
}

TEST_CASE("[EndpointDecoder] Rows with missing, mistyped or unknown values are rejected")
{
    for (const char *field : {"service", "addr", "zone", "slots", "state", "sequence"}) {
        nlohmann::json missing = endpointRow();
        missing.erase(field);
        CHECK_FALSE(decodeListedEndpoint("i-1", missing.dump()).has_value());
        nlohmann::json mistyped = endpointRow();
        mistyped[field] = nlohmann::json::array({1});
        CHECK_FALSE(decodeListedEndpoint("i-1", mistyped.dump()).has_value());
    }
    nlohmann::json state = endpointRow();
    state["state"] = "unknown";
    CHECK_FALSE(decodeListedEndpoint("i-1", state.dump()).has_value());
    nlohmann::json started = endpointRow();
    started["born"] = 1.5;
    CHECK_FALSE(decodeListedEndpoint("i-1", started.dump()).has_value());
    CHECK_FALSE(decodeListedEndpoint("i-1", "\xff\xfe").has_value());
    CHECK_FALSE(decodeListedEndpoint("i-1", endpointRow().dump().substr(0, 60)).has_value());
}
