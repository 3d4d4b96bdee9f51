#include "core/hash.h"
#include "drivers/crashrowjson.h"
#include "drivers/loop.h"
#include "drivers/versionrowjson.h"
#include "platform/configdecoder.h"
#include "platform/endpointdecoder.h"
#include "platform/engineclient.h"
#include "platform/requestcodec.h"
#include "platform/storeclient.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::platform;

namespace
{

constexpr Duration clockOffset = std::chrono::hours(3);

/** JSON texts of values that a writer may leave in a field. */
const std::vector<std::string> oddValues = {
    "null",
    "true",
    "-1",
    "0",
    "70000",
    "2147483648",
    "4294967296",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "123456789012345678901234567890",
    "1e999",
    "-1e300",
    "1.5",
    "[]",
    "{}",
    "[[1]]",
    "\"\"",
    "\"x\"",
    "\"a b\"",
    "\"a/b\"",
    "\"a\\r\\nInjected: yes\"",
    "\"\\u0000\"",
    "\"\\u007f\\u00fc\"",
    "\"0.0.0.0:80\"",
    "\"localhost:80\"",
    "\"10.0.0.1:0\"",
    "\"10.0.0.1:-1\"",
    "\"10.0.0.1:70000\"",
    "\"10.0.0.1\"",
    "\"256.0.0.1:80\"",
    "\"255.255.255.255:80\"",
    "\"[::1]:80\"",
    "\"\xff\xfe\"",
};

const std::vector<std::string> baseTexts = {
    R"({"service":"pool","addr":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"models":[{"name":"m","version":3}],"sequence":4,"born":1778159551252})",
    R"({"ver":17,"nowMs":12345,"truncated":false,"rows":[{"table":"servers","part":"","key":"i-1","value":"e30=","ver":12,"deleted":false}]})",
    R"({"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"waiting":1,"running":12,"kvUsed":41000,"kvTotal":90000,"runs":[],"born":1778159551252})",
    R"({"service":"s","version":"v1","fromUs":1000000,"untilUs":2000000})",
    R"({"service":"s","version":"v1","atUs":1000000,"ambiguous":true})",
    R"({"atUs":1000000,"crash":"i-1@5","reporter":"entry-1","suspects":[["00000000000000ff",3,true,900000]]})",
    R"({"atUs":1000000,"trials":2})",
    R"({"model":"m","version":4})",
    R"({"version":4,"routes":[{"name":"r","host":"h","prefix":"/","routeKind":"stream","timeoutMs":500,"trafficSplit":[{"service":"s","weight":1}]}],"services":[{"name":"s","healthPath":"/health","maxConns":3,"engine":{"kvTokenBytes":1,"kvCapacityTokens":2,"linkMbps":3}}],"limits":{"maxHeaderBytes":100},"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":3,"burst":4}]})",
};

class Mutator
{
private:
    std::mt19937_64 m_random;

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    /** Replaces a value that follows a colon or a bracket, as far as the next separator. */
    void replaceValue(std::string &text)
    {
        std::vector<std::size_t> begins;
        for (std::size_t i = 0; i + 1 < text.size(); ++i) {
            if (text[i] == ':' || text[i] == '[') {
                begins.push_back(i + 1);
            }
        }
        if (begins.empty()) {
            return;
        }
        const std::size_t begin = begins[below(begins.size())];
        const std::size_t end = std::min(text.find_first_of(",}]", begin), text.size());
        text.replace(begin, end - begin, below(20) == 0 ? nested() : oddValues[below(oddValues.size())]);
    }

    std::string nested()
    {
        const std::size_t depth = below(2000);
        const bool isClosed = below(2) == 0;
        return std::string(depth, '[') + (isClosed ? std::string(depth, ']') : std::string());
    }

public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string text()
    {
        std::string text = baseTexts[below(baseTexts.size())];
        const std::size_t changes = below(4);
        for (std::size_t i = 0; i < changes; ++i) {
            const std::size_t kind = below(10);
            const std::size_t at = text.empty() ? 0 : below(text.size());
            if (kind < 7) {
                replaceValue(text);
            } else if (kind == 7) {
                text.resize(at);
            } else if (kind == 8 && !text.empty()) {
                text[at] = static_cast<char>(below(256));
            } else {
                text.insert(at, text.substr(0, below(text.size() + 1)));
            }
        }
        return text;
    }

    std::string id()
    {
        const std::vector<std::string> ids = {"i-1",
                                              "",
                                              "a b",
                                              "a/b",
                                              "a\r\nInjected: yes",
                                              std::string("a\0b", 3),
                                              "\xff",
                                              std::string(10000, 'x'),
                                              "version/s/v1",
                                              "trial/00000000000000ff",
                                              "clearance/00000000000000ff"};
        return ids[below(ids.size())];
    }
};

bool isPlain(const std::string &text)
{
    return text.size() <= 200 && std::none_of(text.begin(), text.end(), [](char character) {
               const unsigned char code = static_cast<unsigned char>(character);
               return code < 0x20 || code == 0x7f;
           });
}

/** What the daemons rely on in an entry that counts. */
bool isUsable(const ListedEndpoint &endpoint)
{
    const SocketAddress address = parseSocketAddress(endpoint.address);
    return isPlain(endpoint.id) && !endpoint.id.empty() && endpoint.id.find(' ') == std::string::npos && isPlain(endpoint.service)
        && isPlain(endpoint.zone) && isPlain(endpoint.softwareVersion) && isPlain(endpoint.model) && endpoint.slots > 0
        && endpoint.startedMs >= 0 && endpoint.weightsVersion >= 0 && isHostAddress(address.host) && address.port > 0
        && address.port <= 65535;
}

/** Passes a text to all decoders. Returns whether what they accept can be used. */
bool decodeAll(const std::string &id, const std::string &text)
{
    const std::optional<ListedEndpoint> endpoint = decodeListedEndpoint(id, text);
    const std::optional<StoreRows> rows = decodeStoreRows(text);
    const std::optional<EngineReport> report = decodeEngineReport(text);
    const std::optional<VersionPeriod> period = decodeVersionPeriod(id, text, clockOffset);
    const std::optional<StreamRecord> record = decodeStreamRecord(text, clockOffset);
    const std::optional<CrashRow> crash = decodeCrashRow(id, text, clockOffset);
    const std::optional<WantedWeights> wanted = decodeWantedWeights(text);
    ConfigDecoder().decode(text);
    bool isValid = !endpoint.has_value() || isUsable(*endpoint);
    isValid = isValid && (!rows.has_value() || rows->version >= 0);
    isValid = isValid && (!report.has_value() || (report->startedMs >= 0 && report->weightsVersion >= 0 && report->running >= 0));
    isValid = isValid && (!wanted.has_value() || wanted->version >= 0);
    // What was read can be written again.
    if (period.has_value()) {
        isValid = isValid && decodeVersionPeriod(id, encodeVersionPeriod(*period, clockOffset), clockOffset).has_value();
    }
    if (record.has_value()) {
        isValid = isValid && decodeStreamRecord(encodeStreamRecord(*record, clockOffset), clockOffset).has_value();
    }
    if (crash.has_value()) {
        isValid = isValid && decodeCrashRow(id, encodeCrashRow(*crash, clockOffset), clockOffset).has_value();
    }
    return isValid;
}

}

TEST_CASE("[DecoderFuzz] Texts of other writers end no process, and what is accepted can be used")
{
    const std::uint64_t failingSeed = findFailingSeed(Seeds(20000), [](std::uint64_t seed) {
        Mutator mutator(seed);
        const std::string id = mutator.id();
        return decodeAll(id, mutator.text());
    });
    CHECK(failingSeed == 0);
}

TEST_CASE("[DecoderFuzz] Very deeply nested texts are refused")
{
    constexpr std::size_t depth = 200000;
    const std::string open(depth, '[');
    const std::string closed = open + std::string(depth, ']');
    for (const std::string &text : {open, closed, std::string("{\"a\":") + closed + "}", std::string(depth, '{')}) {
        CHECK(decodeAll("i-1", text));
        CHECK_FALSE(decodeListedEndpoint("i-1", text).has_value());
    }
    for (const char *field : {"service", "models", "born", "other"}) {
        std::string text = baseTexts.front();
        text.insert(1, "\"" + std::string(field) + "\":" + closed + ",");
        CHECK(decodeAll("i-1", text));
    }
}

TEST_CASE("[DecoderFuzz] An entry whose id or address can't be used in a request names no endpoint")
{
    const std::string &entry = baseTexts.front();
    REQUIRE(decodeListedEndpoint("i-1", entry).has_value());
    CHECK(decodeListedEndpoint("pool/i-1", entry).has_value());
    for (const std::string &id : {std::string(), std::string("a b"), std::string("a\r\nInjected: yes"), std::string("\xff\xfe"),
                                  std::string("a\0", 2), std::string(10000, 'x')}) {
        CHECK_FALSE(decodeListedEndpoint(id, entry).has_value());
    }
    for (const char *address :
         {"", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:70000", "10.0.0.9:+80", "10.0.0.9:080", "host:80",
          "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.0.0.999:80", "10.0.9:80", " 10.0.0.9:80"}) {
        std::string changed = entry;
        changed.replace(changed.find("10.0.0.9:8080"), 13, address);
        CAPTURE(address);
        CHECK_FALSE(decodeListedEndpoint("i-1", changed).has_value());
    }
}
