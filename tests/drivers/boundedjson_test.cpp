#include "drivers/boundedjson.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;

namespace
{

std::string repeat(const std::string &text, std::size_t count)
{
    std::string repeated;
    for (std::size_t i = 0; i < count; ++i) {
        repeated += text;
    }
    return repeated;
}

}

TEST_CASE("[BoundedJson] A document up to the bound is parsed like any other")
{
    // A list, an object, a key, a list and two numbers.
    const std::string text = R"([{"a":[1,2]}])";
    constexpr std::size_t values = 6;
    CHECK(parseBoundedJson(text, values) == nlohmann::json::parse(text));
    CHECK(parseBoundedJson(text, values - 1).is_discarded());
    CHECK(parseBoundedJson("{}", 1) == nlohmann::json::object());
    CHECK(parseBoundedJson("7", 1) == nlohmann::json(7));
}

// Guards against documents of few bytes that take a process's memory once they are parsed.
TEST_CASE("[BoundedJson] A document of more values than the bound is discarded, whatever they are")
{
    constexpr std::size_t bound = 1000;
    constexpr std::size_t count = 2000000;
    CHECK(parseBoundedJson("[" + repeat("[],", count) + "[]]", bound).is_discarded());
    CHECK(parseBoundedJson("[" + repeat("{},", count) + "{}]", bound).is_discarded());
    CHECK(parseBoundedJson("[" + repeat("0,", count) + "0]", bound).is_discarded());
    CHECK(parseBoundedJson(repeat("[", count) + repeat("]", count), bound).is_discarded());
    CHECK(parseBoundedJson(repeat(R"({"":)", count) + "0" + repeat("}", count), bound).is_discarded());
}

TEST_CASE("[BoundedJson] Malformed documents are discarded, whatever their size")
{
    constexpr std::size_t bound = 1000;
    CHECK(parseBoundedJson("", bound).is_discarded());
    CHECK(parseBoundedJson("[1,", bound).is_discarded());
    CHECK(parseBoundedJson("[1]x", bound).is_discarded());
    CHECK(parseBoundedJson(repeat("[", 2000000), bound).is_discarded());
    CHECK(parseBoundedJson("[" + repeat("[],", 2000000), bound).is_discarded());
}
