#pragma once

#include "main/proxy/proxyrole.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformfakes.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace citronspar::fakes
{

constexpr const char *frontAddress = "127.0.0.1:18901";
constexpr const char *readyAddress = "127.0.0.1:18902";
constexpr const char *storeAddress = "127.0.0.1:18903";
constexpr const char *peerAddress = "127.0.0.1:18904";
inline const std::vector<std::string> endpointAddresses = {"127.0.0.1:18911", "127.0.0.1:18912"};

inline Settings entryDaemonSettings()
{
    Settings settings;
    settings.daemon = "entry-1";
    settings.zone = "a";
    settings.httpListen = frontAddress;
    settings.peerListen = peerAddress;
    settings.table = storeAddress;
    settings.fleetSecret = "a secret of the fleet";
    settings.platform = PlatformSettings();
    settings.platform->readyListen = readyAddress;
    settings.platform->peerPort = 18904;
    settings.platform->retrySlack = 100;
    return settings;
}

inline std::string makeConfig(std::int64_t version, const std::vector<std::string> &keys)
{
    const auto route = [](const char *prefix, const char *kind, bool isResumable, bool isPublic, const char *service = "app") {
        return nlohmann::json({{"name", prefix},
                               {"host", "h"},
                               {"prefix", prefix},
                               {"routeKind", kind},
                               {"timeoutMs", 700},
                               {"targetLatencyMs", 500},
                               {"priority", 1},
                               {"service", service},
                               {"maxAttempts", 2},
                               {"public", isPublic},
                               {"resumable", isResumable}});
    };
    nlohmann::json config
        = {{"version", version},
           {"routes",
            {route("/once/", "non_idempotent", false, false), route("/again/", "idempotent", false, false),
             route("/stream/", "stream", true, false), route("/plain-stream/", "stream", false, false),
             route("/open/", "idempotent", false, true), route("/model/", "stream", true, false, "engines")}},
           {"services",
            {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 10}},
             {{"name", "engines"}, {"maxConns", 10}, {"engine", {{"kvTokenBytes", 1000}, {"kvCapacityTokens", 100000}}}}}},
           {"limits", nlohmann::json::object()},
           {"tenants",
            {{{"name", "mine"}, {"apiKeys", keys}, {"unit", "tokens"}, {"plainTokens", 1}},
             {{"name", "isolated one"}, {"apiKeys", {"isolated-key-1"}}, {"isolated", true}},
             {{"name", "isolated two"}, {"apiKeys", {"isolated-key-2"}}, {"isolated", true}}}}};
    return config.dump();
}

inline std::string makeEntry(const std::string &address)
{
    return nlohmann::json({{"service", "app"},
                           {"addr", address},
                           {"zone", "a"},
                           {"version", "v1"},
                           {"slots", 4},
                           {"state", "ready"},
                           {"coldLeftMs", 0},
                           {"sequence", 1},
                           {"born", 1000}})
        .dump();
}

inline std::string makeEngineEntry(const std::string &address, std::int64_t weights)
{
    nlohmann::json entry = nlohmann::json::parse(makeEntry(address));
    entry["service"] = "engines";
    entry["models"] = {{{"name", "m"}, {"version", weights}, {"adapters", nlohmann::json::array()}}};
    return entry.dump();
}

struct Response
{
    HttpCallResult result = HttpCallResult::NotSent;
    HttpHead head;
    std::string body;
    bool isDone = false;
};

/** An entry daemon with fakes of the store and the endpoints and an HTTP client as the caller, all on one loop. */
struct ProxyFixture
{
    DaemonCore core;
    FakeStore store;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    PeerLinks links;
    ProxyRole role;
    HttpPool callers;
    int lastRequest = 0;

    /** @param hasEndpoints false if the test opens the listed endpoints itself */
    explicit ProxyFixture(bool hasConfig = true, const Settings &settings = entryDaemonSettings(), bool hasEndpoints = true)
        : core(settings)
        , store(core.loop(), parseSocketAddress(storeAddress))
        , links(core)
        , role(core, links, *core.settings().platform)
        , callers(core.loop())
    {
        if (hasConfig) {
            store.put("op", "config", makeConfig(7, {"good-key"}));
        }
        for (const std::string &address : endpointAddresses) {
            if (hasEndpoints) {
                endpoints.push_back(std::make_unique<FakeEndpoint>(core.loop(), parseSocketAddress(address), "i-" + address));
            }
            store.put("servers", "i-" + address, makeEntry(address));
        }
        store.put("servers", "foreign", "\xff not an entry");
        REQUIRE(role.open());
        REQUIRE(fakes::runUntil(core.loop(), [this, hasConfig]() {
            return role.hasInitialState() || (!hasConfig && store.requestCount >= 2);
        }));
    }

    /** Repeats the request for up to 100 attempts and returns whether a response had @p status. */
    bool eventuallyResponds(const std::string &path, const std::string &key, int status)
    {
        for (int i = 0; i < 100; ++i) {
            if (sendRequest(path, key).head.status == status) {
                return true;
            }
            runFor(std::chrono::milliseconds(50));
        }
        return false;
    }

    void runFor(Duration time)
    {
        core.timers().subscribeOnce(time, [this](TimePoint) {
            core.loop().stop();
        });
        core.loop().run();
    }

    HttpCall makeCall(const std::string &path, const std::string &key)
    {
        HttpCall call;
        call.target = parseSocketAddress(frontAddress);
        call.poolKey = "caller";
        call.head.method = "POST";
        call.head.target = path;
        call.head.set("Host", "h");
        call.head.set("Citronspar-Request-Id", "r" + std::to_string(++lastRequest));
        call.head.set("Citronspar-Deadline-Ms", "5000");
        call.head.set("Authorization", "Bearer " + key);
        call.body = "the body";
        return call;
    }

    Response sendRequest(const std::string &path, const std::string &key = "good-key")
    {
        Response response;
        callers.fetch(makeCall(path, key), std::chrono::seconds(3),
                      [&](HttpCallResult result, const HttpHead &head, const std::string &body) {
                          response = Response{result, head, body, true};
                          core.loop().stop();
                      });
        core.loop().run();
        REQUIRE(response.isDone);
        return response;
    }

    void setBehaviours(FakeEndpoint::Behaviour first, FakeEndpoint::Behaviour second)
    {
        endpoints[0]->behaviour = first;
        endpoints[1]->behaviour = second;
    }

    std::size_t receivedCount() const
    {
        return endpoints[0]->received.size() + endpoints[1]->received.size();
    }
};

}
