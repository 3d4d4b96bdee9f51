#include "drivers/rolloutrowjson.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace citronspar;

namespace
{

RolloutRow exampleRow()
{
    RolloutRow row;
    row.order = 17;
    row.era = 2;
    row.to = "v2";
    row.from = {"v0", "v1"};
    row.reverted = {"v3"};
    row.phase = RolloutPhase::Raising;
    row.holder = "endpoint-3";
    row.holderAddress = "10.0.0.3:7000";
    row.term = 4;
    row.begun = std::chrono::milliseconds(1000);
    row.deadline = std::chrono::milliseconds(61000);
    row.exposed = 250;
    row.counted = 9000;
    row.earlier = {EarlierExposure{"v2", 30, 700, std::chrono::milliseconds(41000)}};
    row.reason = "no difference on 3 routes";
    return row;
}

}

TEST_CASE("[RolloutRowJson] A row survives encoding and decoding")
{
    for (const RolloutPhase phase :
         {RolloutPhase::Canary, RolloutPhase::Raising, RolloutPhase::Closing, RolloutPhase::Completed, RolloutPhase::Reverted}) {
        RolloutRow row = exampleRow();
        row.phase = phase;
        const std::optional<RolloutRow> decoded = decodeRolloutRow(encodeRolloutRow(row));
        REQUIRE(decoded.has_value());
        CHECK(decoded->order == row.order);
        CHECK(decoded->era == row.era);
        CHECK(decoded->to == row.to);
        CHECK(decoded->from == row.from);
        CHECK(decoded->reverted == row.reverted);
        CHECK(decoded->phase == phase);
        CHECK(decoded->holder == row.holder);
        CHECK(decoded->holderAddress == row.holderAddress);
        CHECK(decoded->term == row.term);
        CHECK(decoded->begun == row.begun);
        CHECK(decoded->deadline == row.deadline);
        CHECK(decoded->exposed == row.exposed);
        CHECK(decoded->counted == row.counted);
        REQUIRE(decoded->earlier.size() == 1);
        CHECK(decoded->earlier.front().to == "v2");
        CHECK(decoded->earlier.front().exposed == 30);
        CHECK(decoded->earlier.front().counted == 700);
        CHECK(decoded->earlier.front().deadline == std::chrono::milliseconds(41000));
        CHECK(decoded->reason == row.reason);
    }
}

TEST_CASE("[RolloutRowJson] A row that lacks a field or has one of another type is rejected")
{
    // Guards against a row of another writer from which a holder would take a lower exposure than was granted.
    const nlohmann::json valid = nlohmann::json::parse(encodeRolloutRow(exampleRow()));
    for (const auto &field : valid.items()) {
        nlohmann::json document = valid;
        document.erase(field.key());
        CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
        document[field.key()] = nullptr;
        CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    }
    nlohmann::json document = valid;
    document["phase"] = "unknown";
    CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    document = valid;
    document["exposed"] = -1;
    CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    document = valid;
    document["from"] = {"v1", 2};
    CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    for (const auto &field : valid.at("earlier").front().items()) {
        document = valid;
        document["earlier"].front().erase(field.key());
        CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    }
    document = valid;
    document["earlier"] = {"v1"};
    CHECK_FALSE(decodeRolloutRow(document.dump()).has_value());
    for (const char *text : {"", "[]", "{", "null", "\xff"}) {
        CHECK_FALSE(decodeRolloutRow(text).has_value());
    }
}

TEST_CASE("[RolloutRowJson] A reason that is not valid UTF-8 does not prevent the row from being written")
{
    RolloutRow row = exampleRow();
    row.reason = "route \xff";
    CHECK(decodeRolloutRow(encodeRolloutRow(row)).has_value());
}
