#include "client/command.h"

#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

CommandLine lineOf(const std::vector<std::string> &words)
{
    CommandLine line;
    line.words = words;
    return line;
}

}

TEST_CASE("[Command] Commands become operator calls")
{
    CommandReader reader;
    CHECK(reader.read(lineOf({"status"}))->path == "status");
    CHECK(reader.read(lineOf({"key", "withdraw", "k1"}))->body["patch"]["keys"]["k1"]["isWithdrawn"] == true);
    CHECK(reader.read(lineOf({"vm", "retire", "model-1"}))->body["patch"]["endpoints"]["model-1"]["isRetired"] == true);
    CHECK(reader.read(lineOf({"timeline", "mill-a"}))->body["filter"] == "mill-a");
}

TEST_CASE("[Command] A granted key is new each time, and only its digest is sent")
{
    CommandReader reader;
    const OperatorCall first = *reader.read(lineOf({"key", "grant", "k1", "mill-a"}));
    const OperatorCall second = *reader.read(lineOf({"key", "grant", "k1", "mill-a"}));
    CHECK(first.newKey != second.newKey);
    CHECK(first.body["patch"]["keys"]["k1"]["sha256"] == sha256Hex(first.newKey));
    CHECK(first.body.dump().find(first.newKey) == std::string::npos);
}

TEST_CASE("[Command] An exception needs a reason, and a wrong command is refused")
{
    CommandReader reader;
    CommandLine line = lineOf({"exception", "add", "e1", "mill-a", "{\"maxAttempts\": 1}"});
    CHECK_FALSE(reader.read(line).has_value());
    CHECK(reader.lastReason().find("--reason") != std::string::npos);
    line.reason = "a test of the mill";
    CHECK(reader.read(line)->body["patch"]["exceptions"]["e1"]["reason"] == "a test of the mill");
    CHECK_FALSE(reader.read(lineOf({"dance"})).has_value());
    CHECK_FALSE(reader.read(lineOf({"key", "grant", "k1"})).has_value());
}
