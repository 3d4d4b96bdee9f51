#include "drivers/crashrowjson.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

constexpr Duration offset = std::chrono::seconds(1000);

}

TEST_CASE("[CrashRowJson] Each kind of row is restored from its text, by the clock of the reader")
{
    CrashRow report;
    report.report
        = CrashReport{"i-1@5", "entry-1", TimePoint(std::chrono::seconds(1200)), {{0xfedcba9876543210ULL, false, 7}, {3, true, 0}}};
    const std::optional<CrashRow> restored
        = decodeCrashRow(crashRowKey(report), encodeCrashRow(report, offset), offset + std::chrono::seconds(50));
    REQUIRE(restored.has_value());
    CHECK(restored->kind == CrashRow::Kind::Report);
    CHECK(restored->report.crash == "i-1@5");
    CHECK(restored->report.reporter == "entry-1");
    CHECK(restored->report.at == TimePoint(std::chrono::seconds(1250)));
    REQUIRE(restored->report.suspects.size() == 2);
    CHECK(restored->report.suspects[0].id == 0xfedcba9876543210ULL);
    CHECK(restored->report.suspects[0].completions == 7);
    CHECK(restored->report.suspects[1].isWholeRequest);
    for (const CrashRow::Kind kind : {CrashRow::Kind::Clearance, CrashRow::Kind::Trial}) {
        CrashRow row;
        row.kind = kind;
        row.suspect = 0xab;
        row.at = TimePoint(std::chrono::seconds(1300));
        row.trialCount = kind == CrashRow::Kind::Trial ? 3 : 0;
        const std::optional<CrashRow> decoded = decodeCrashRow(crashRowKey(row), encodeCrashRow(row, offset), offset);
        REQUIRE(decoded.has_value());
        CHECK(decoded->kind == kind);
        CHECK(decoded->suspect == 0xab);
        CHECK(decoded->at == row.at);
        CHECK(decoded->trialCount == row.trialCount);
    }
}

TEST_CASE("[CrashRowJson] Malformed rows are rejected")
{
    CHECK_FALSE(decodeCrashRow("clearance/ab", "not JSON", offset).has_value());
    CHECK_FALSE(decodeCrashRow("clearance/xyz", R"({"atUs":1})", offset).has_value());
    CHECK_FALSE(decodeCrashRow("clearance/ab", R"({"atUs":"1"})", offset).has_value());
    CHECK_FALSE(
        decodeCrashRow("report/i@1/e", R"({"atUs":1,"crash":"i@1","reporter":"e","suspects":[["zz",0,false]]})", offset).has_value());
    CHECK_FALSE(decodeCrashRow("report/i@1/e", R"({"atUs":1,"crash":"i@1","reporter":"e","suspects":[[5]]})", offset).has_value());
    // The key does not belong to the report.
    CHECK_FALSE(decodeCrashRow("report/i@2/e", R"({"atUs":1,"crash":"i@1","reporter":"e","suspects":[]})", offset).has_value());
    CHECK(decodeCrashRow("report/i@1/e", R"({"atUs":1,"crash":"i@1","reporter":"e","suspects":[]})", offset).has_value());
}
