#include "client/command.h"

#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

CommandLine commandLine(const std::vector<std::string> &arguments)
{
    CommandLine line;
    line.arguments = arguments;
    return line;
}

}

TEST_CASE("[Command] Commands are parsed into operator calls")
{
    CommandParser parser;
    CHECK(parser.parse(commandLine({"status"}))->path == "status");
    CHECK(parser.parse(commandLine({"key", "withdraw", "k1"}))->body["patch"]["keys"]["k1"]["isWithdrawn"] == true);
    CHECK(parser.parse(commandLine({"vm", "retire", "model-1"}))->body["patch"]["endpoints"]["model-1"]["isRetired"] == true);
    CHECK(parser.parse(commandLine({"timeline", "mill-a"}))->body["filter"] == "mill-a");
}

TEST_CASE("[Command] Each granted key is unique, and only its digest is sent")
{
    CommandParser parser;
    const OperatorCall first = *parser.parse(commandLine({"key", "grant", "k1", "mill-a"}));
    const OperatorCall second = *parser.parse(commandLine({"key", "grant", "k1", "mill-a"}));
    CHECK(first.newKey != second.newKey);
    CHECK(first.body["patch"]["keys"]["k1"]["sha256"] == sha256Hex(first.newKey));
    CHECK(first.body.dump().find(first.newKey) == std::string::npos);
}

TEST_CASE("[Command] An exception without a reason, an unknown command and missing arguments are rejected")
{
    CommandParser parser;
    CommandLine line = commandLine({"exception", "add", "e1", "mill-a", "{\"maxAttempts\": 1}"});
    CHECK_FALSE(parser.parse(line).has_value());
    CHECK(parser.lastError().find("--reason") != std::string::npos);
    line.reason = "load test";
    CHECK(parser.parse(line)->body["patch"]["exceptions"]["e1"]["reason"] == "load test");
    CHECK_FALSE(parser.parse(commandLine({"unknown"})).has_value());
    CHECK_FALSE(parser.parse(commandLine({"key", "grant", "k1"})).has_value());
}
