#include "main/settings.h"
#include "main/settingswatch.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

using namespace citronspar;

namespace
{

const char *const path = "settings_test.json";

std::optional<Settings> readText(SettingsReader &reader, const std::string &text)
{
    std::ofstream(path) << text;
    const std::optional<Settings> settings = reader.read(path);
    std::remove(path);
    return settings;
}

nlohmann::json goodDocument()
{
    return {{"role", "entry"},
            {"daemon", "entry-1"},
            {"zone", "dar-a"},
            {"httpListen", "127.0.0.1:1"},
            {"peerListen", "127.0.0.1:2"},
            {"table", "127.0.0.1:3"},
            {"fleetSecret", "0123456789abcdef"}};
}

struct Case
{
    const char *pointer;
    nlohmann::json value;
    const char *expected;
};

}

TEST_CASE("[Settings] Good settings are read")
{
    SettingsReader reader;
    const std::optional<Settings> settings = readText(reader, goodDocument().dump());
    REQUIRE(settings.has_value());
    CHECK(settings->daemon == "entry-1");
}

TEST_CASE("[Settings] Wrong settings are refused with the file, the place and what was expected")
{
    const Case example = GENERATE(Case{"/surprise", 1, "surprise"}, Case{"/httpListen", "nowhere", "httpListen"},
                                  Case{"/role", "king", "role"}, Case{"/fleetSecret", "short", "fleetSecret"},
                                  Case{"/maxBodyBytes", "many", "maxBodyBytes"}, Case{"/role", "endpoint", "needs endpoint"});
    nlohmann::json document = goodDocument();
    document[nlohmann::json::json_pointer(example.pointer)] = example.value;
    SettingsReader reader;
    CHECK_FALSE(readText(reader, document.dump()).has_value());
    CHECK(reader.lastReason().find(path) == 0);
    CHECK(reader.lastReason().find(example.expected) != std::string::npos);
}

TEST_CASE("[Settings] A file that is missing or not JSON is refused")
{
    SettingsReader reader;
    CHECK_FALSE(reader.read("no-such-file.json").has_value());
    CHECK(reader.lastReason().find("can't be opened") != std::string::npos);
    CHECK_FALSE(readText(reader, "{").has_value());
    CHECK(reader.lastReason().find("not JSON") != std::string::npos);
}

TEST_CASE("[SettingsWatch] A changed file is read, and a broken one leaves the settings as they are")
{
    std::ofstream(path) << goodDocument().dump();
    SettingsWatch watch(path);
    CHECK_FALSE(watch.poll(false).has_value());
    CHECK(watch.lastReason().empty());
    nlohmann::json changed = goodDocument();
    changed["zone"] = "dar-b";
    std::ofstream(path) << changed.dump();
    const std::optional<Settings> settings = watch.poll(true);
    REQUIRE(settings.has_value());
    CHECK(settings->zone == "dar-b");
    std::ofstream(path) << "{";
    CHECK_FALSE(watch.poll(true).has_value());
    CHECK_FALSE(watch.lastReason().empty());
    std::remove(path);
}
