#include "tests/fakes/proxyfixture.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;
using Behaviour = FakeEndpoint::Behaviour;

namespace
{

constexpr std::int64_t laterStart = 2000;

/** A later start at the address of the first endpoint, changed by @p change. */
std::string makeForeignEntry(const std::function<void(nlohmann::json &)> &change)
{
    nlohmann::json entry = nlohmann::json::parse(makeEntry(endpointAddresses[0]));
    entry["born"] = laterStart;
    change(entry);
    return entry.dump();
}

struct ForeignEntry
{
    std::string name;
    std::string value;
};

std::vector<ForeignEntry> foreignEntries()
{
    using nlohmann::json;
    std::vector<ForeignEntry> entries;
    const auto add = [&](const std::string &name, const std::function<void(json &)> &change) {
        entries.push_back(ForeignEntry{name, makeForeignEntry(change)});
    };
    add("service in no configuration", [](json &entry) {
        entry["service"] = "inventory";
    });
    add("KV store as service", [](json &entry) {
        entry["service"] = "kept";
    });
    add("service in no configuration, without a start time", [](json &entry) {
        entry["service"] = "inventory";
        entry.erase("born");
    });
    add("named service, another id", [](json &) {});
    add("named service, without a start time", [](json &entry) {
        entry.erase("born");
    });
    add("other named service", [](json &entry) {
        entry["service"] = "engines";
    });
    add("start ahead", [](json &entry) {
        entry["born"] = 4000000000000;
    });
    add("largest start", [](json &entry) {
        entry["born"] = std::numeric_limits<std::int64_t>::max();
    });
    add("start past 64 bits", [](json &entry) {
        entry["born"] = std::numeric_limits<std::uint64_t>::max();
    });
    add("negative start", [](json &entry) {
        entry["born"] = -5;
    });
    add("start of another type", [](json &entry) {
        entry["born"] = "late";
    });
    add("state not named", [](json &entry) {
        entry["state"] = "resting";
    });
    add("draining", [](json &entry) {
        entry["service"] = "inventory";
        entry["state"] = "draining";
    });
    add("other software version", [](json &entry) {
        entry["service"] = "inventory";
        entry["version"] = "v9";
    });
    for (const char *field : {"service", "addr", "zone", "slots", "state", "sequence"}) {
        add(std::string("missing ") + field, [field](json &entry) {
            entry.erase(field);
        });
        add(std::string("null ") + field, [field](json &entry) {
            entry[field] = nullptr;
        });
        add(std::string("empty ") + field, [field](json &entry) {
            entry[field] = "";
        });
    }
    return entries;
}

/** Longer than the daemon waits between two polls of the list. */
constexpr Duration listTime = std::chrono::milliseconds(60);

Settings quickListSettings()
{
    Settings settings = entryDaemonSettings();
    settings.platform->drainLimit = std::chrono::milliseconds(100);
    return settings;
}

/** One of the fixture's endpoints is listed, and the list is polled often. */
struct StreamFixture : ProxyFixture
{
    StreamFixture()
        : ProxyFixture(true, quickListSettings())
    {
        store.put("servers", "i-" + endpointAddresses[1], std::string(), true);
        endpoints[0]->eventPause = std::chrono::milliseconds(120);
        runFor(listTime);
    }

    /** Begins a stream and calls @p step while it runs, later than an answer of another endpoint at the address would arrive. */
    Response streamDuring(const std::function<void()> &step)
    {
        endpoints[0]->behaviour = Behaviour::SlowStream;
        core.timers().subscribeOnce(std::chrono::milliseconds(320), [step](TimePoint) {
            step();
        });
        const Response response = sendRequest("/plain-stream/x");
        endpoints[0]->behaviour = Behaviour::SendStream;
        return response;
    }
};

}

TEST_CASE("[ForeignEntries] An entry of another writer at the address of an endpoint at work breaks no request off and diverts none")
{
    StreamFixture proxy;
    proxy.store.put("op", "config", [] {
        nlohmann::json config = nlohmann::json::parse(makeConfig(8, {"good-key"}));
        config["services"].push_back({{"name", "kept"}, {"kvStoreAddr", "127.0.0.1:1"}});
        return config.dump();
    }());
    proxy.runFor(std::chrono::milliseconds(300));
    for (const ForeignEntry &entry : foreignEntries()) {
        CAPTURE(entry.name);
        const Response during = proxy.streamDuring([&]() {
            proxy.store.put("servers", "another-7", entry.value);
        });
        CHECK(during.result == HttpCallResult::Complete);
        CHECK(during.body == FakeEndpoint::completeStream());
        proxy.runFor(listTime);
        CHECK(proxy.sendRequest("/again/x").head.status == 200);
        proxy.store.put("servers", "another-7", std::string(), true);
        proxy.runFor(listTime);
    }
    CHECK(proxy.sendRequest("/again/x").head.status == 200);
    CHECK(proxy.store.keys("crashes").empty());
    for (const std::string &key : proxy.store.keys("versions")) {
        CHECK(key.find("inventory") == std::string::npos);
        CHECK(key.find("kept") == std::string::npos);
        CHECK(key.find("v9") == std::string::npos);
    }
}

TEST_CASE("[ForeignEntries] An entry of another writer that is there when the daemon starts diverts no request")
{
    for (const ForeignEntry &entry : foreignEntries()) {
        CAPTURE(entry.name);
        StreamFixture proxy;
        proxy.store.put("servers", "another-7", entry.value);
        proxy.store.discardHistory();
        proxy.runFor(listTime);
        // The first answer of the address shows which of the entries is the endpoint's.
        proxy.sendRequest("/again/x");
        proxy.runFor(std::chrono::milliseconds(200));
        CHECK(proxy.sendRequest("/again/x").head.status == 200);
    }
}

TEST_CASE("[ForeignEntries] A service that leaves the configuration loses no request at its endpoints, and one that comes later gains them")
{
    StreamFixture proxy;
    const auto withoutApp = [](std::int64_t version) {
        nlohmann::json config = nlohmann::json::parse(makeConfig(version, {"good-key"}));
        config["services"].erase(0);
        return config.dump();
    };
    const Response during = proxy.streamDuring([&]() {
        proxy.store.put("op", "config", withoutApp(8));
    });
    CHECK(during.body == FakeEndpoint::completeStream());
    // Its entry does not displace that of the service which has the address now.
    proxy.store.put("op", "config", makeConfig(9, {"good-key"}));
    proxy.runFor(listTime);
    CHECK(proxy.sendRequest("/again/x").head.status == 200);
    nlohmann::json renamed = nlohmann::json::parse(makeConfig(10, {"good-key"}));
    renamed["services"][0]["name"] = "app2";
    for (nlohmann::json &route : renamed["routes"]) {
        route["service"] = route["service"] == "app" ? "app2" : route["service"].get<std::string>();
    }
    nlohmann::json entry = nlohmann::json::parse(makeEntry(endpointAddresses[0]));
    entry["service"] = "app2";
    proxy.store.put("servers", "i-" + endpointAddresses[0], entry.dump());
    proxy.runFor(listTime);
    CHECK(proxy.sendRequest("/again/x").head.status == 503);
    proxy.store.put("op", "config", renamed.dump());
    CHECK(proxy.eventuallyResponds("/again/x", "good-key", 200));
}

TEST_CASE("[ForeignEntries] A row under the id of an endpoint that another writer replaces breaks no request off")
{
    StreamFixture proxy;
    const std::string id = "i-" + endpointAddresses[0];
    for (const std::string &value : {std::string("\xff"), std::string(), std::string("{}"), makeForeignEntry([](nlohmann::json &entry) {
                                         entry["service"] = "inventory";
                                     })}) {
        const Response during = proxy.streamDuring([&]() {
            proxy.store.put("servers", id, value);
        });
        CHECK(during.body == FakeEndpoint::completeStream());
        proxy.store.put("servers", id, makeEntry(endpointAddresses[0]));
        CHECK(proxy.eventuallyResponds("/again/x", "good-key", 200));
    }
}

TEST_CASE("[ForeignEntries] An endpoint of another service that has taken the address over is noticed, and so is a later start")
{
    StreamFixture proxy;
    // The endpoint has ended without a word: its connections stay open, and another one answers at its address.
    proxy.endpoints[0]->behaviour = Behaviour::NoResponse;
    nlohmann::json entry = nlohmann::json::parse(makeEntry(endpointAddresses[0]));
    entry["service"] = "engines";
    entry["born"] = laterStart;
    proxy.core.timers().subscribeOnce(std::chrono::milliseconds(350), [&](TimePoint) {
        proxy.endpoints[0]->instanceId = "i-new";
        proxy.store.put("servers", "i-new", entry.dump());
    });
    const TimePoint begin = Loop::now();
    CHECK(proxy.sendRequest("/once/x").head.status == 502);
    CHECK(Loop::now() - begin < std::chrono::milliseconds(650));
    CHECK(proxy.sendRequest("/again/x").head.status == 503);
    entry["service"] = "app";
    entry["born"] = laterStart + 1;
    proxy.endpoints[0]->instanceId = "i-newest";
    proxy.endpoints[0]->behaviour = Behaviour::SendStream;
    proxy.store.put("servers", "i-newest", entry.dump());
    CHECK(proxy.eventuallyResponds("/again/x", "good-key", 200));
}

TEST_CASE("[ForeignEntries] Odd ids and values neither end a daemon nor stop it following the list, and reach no endpoint")
{
    StreamFixture proxy;
    const std::string nested(200000, '[');
    std::vector<ForeignEntry> entries;
    for (const std::string &id : {std::string("injected\r\nInjected: yes"), std::string("a b"), std::string("a/b"), std::string("\x01"),
                                  std::string("\x7f"), std::string(10000, 'x'), std::string("\xc3\xbc")}) {
        entries.push_back(ForeignEntry{id, makeEntry(endpointAddresses[1])});
    }
    for (const std::string &value :
         {nested, nested + std::string(200000, ']'), std::string("{\"slots\":1e999}"), std::string("\xff\xfe"), std::string()}) {
        entries.push_back(ForeignEntry{"odd value", value});
    }
    for (const char *address : {"0.0.0.0:18912", "localhost:18912", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0"}) {
        entries.push_back(ForeignEntry{"odd address", makeEntry(address)});
    }
    for (const ForeignEntry &entry : entries) {
        CAPTURE(entry.name.substr(0, 40));
        proxy.store.put("servers", entry.name, entry.value);
        proxy.runFor(listTime);
        for (int i = 0; i < 3; ++i) {
            CHECK(proxy.sendRequest("/again/x").head.status == 200);
        }
        if (entry.name == "a/b") {
            proxy.store.put("servers", entry.name, std::string(), true);
        }
    }
    proxy.store.discardHistory();
    proxy.runFor(listTime);
    // The list is still followed.
    proxy.store.put("servers", "i-" + endpointAddresses[0], std::string(), true);
    CHECK(proxy.eventuallyResponds("/again/x", "good-key", 503));
    proxy.store.put("servers", "i-" + endpointAddresses[0], makeEntry(endpointAddresses[0]));
    CHECK(proxy.eventuallyResponds("/again/x", "good-key", 200));
    for (const std::unique_ptr<FakeEndpoint> &endpoint : proxy.endpoints) {
        for (const FakeEndpoint::Received &request : endpoint->received) {
            CHECK(request.head.find("Injected") == nullptr);
        }
    }
}
