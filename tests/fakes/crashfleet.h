#pragma once

#include "main/proxy/proxyrole.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformfakes.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronspar::fakes::crashfleet
{

constexpr int firstPort = 18920;
constexpr int storePort = firstPort;
// Nobody listens there: the engines of these tests have no endpoint daemons.
constexpr int endpointDaemonPort = firstPort + 1;
constexpr int firstEnginePort = firstPort + 2;
constexpr int firstDaemonPort = firstPort + 20;
constexpr int portsPerDaemon = 3;
constexpr int daemonCount = 3;

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline Settings settingsOf(int daemon)
{
    const int port = firstDaemonPort + daemon * portsPerDaemon;
    Settings settings;
    settings.daemon = "entry-" + std::to_string(daemon);
    settings.zone = "a";
    settings.httpListen = addressOf(port);
    settings.peerListen = addressOf(port + 1);
    settings.table = addressOf(storePort);
    settings.fleetSecret = "a secret of the fleet";
    settings.platform = PlatformSettings();
    settings.platform->readyListen = addressOf(port + 2);
    settings.platform->peerPort = endpointDaemonPort;
    settings.platform->retrySlack = 100;
    return settings;
}

/** @param isPlainPublic whether requests without a prompt need no key */
inline std::string configText(int version = 1, bool isPlainPublic = true)
{
    const nlohmann::json config
        = {{"version", version},
           {"routes",
            {{{"name", "model"},
              {"host", "h"},
              {"prefix", "/model/"},
              {"routeKind", "stream"},
              {"resumable", true},
              {"sticky", true},
              {"timeoutMs", 3000},
              {"targetLatencyMs", 2000},
              {"service", "engines"},
              {"maxAttempts", 2},
              {"public", true}},
             {{"name", "plain"},
              {"host", "h"},
              {"prefix", "/plain/"},
              {"routeKind", "idempotent"},
              {"timeoutMs", 3000},
              {"targetLatencyMs", 2000},
              {"service", "plain"},
              {"maxAttempts", 2},
              {"public", isPlainPublic}}}},
           {"services", {{{"name", "engines"}, {"engine", {{"kvTokenBytes", 1000}, {"kvCapacityTokens", 100000}}}}, {{"name", "plain"}}}},
           {"limits", nlohmann::json::object()},
           {"tenants", {{{"name", "mine"}, {"apiKeys", {"key"}}, {"unit", "tokens"}, {"plainTokens", 1}}}}};
    return config.dump();
}

/** Whether a part of the prompt other than the last one is called "bad...", or the body is "bad". */
inline bool isBad(const HttpIncomingRequest &request)
{
    if (request.body == "bad") {
        return true;
    }
    const std::string parts = request.head.value("Citronspar-Prompt-Prefix");
    const std::string shared = parts.substr(0, parts.rfind(','));
    return shared.find("bad") != std::string::npos;
}

struct Daemon
{
    DaemonCore core;
    PeerLinks links;
    ProxyRole role;

    explicit Daemon(int number)
        : Daemon(settingsOf(number))
    {
    }

    explicit Daemon(const Settings &settings)
        : core(settings)
        , links(core)
        , role(core, links, *core.settings().platform)
    {
    }
};

struct Outcome
{
    bool isDone = false;
    HttpCallResult result = HttpCallResult::NotSent;
    int status = 0;
    bool hasRetryAfter = false;
};

/** The endpoints of a CrashFixture. */
struct FleetOptions
{
    /** "engines", or "plain" for a service whose requests have no prompts. */
    std::string service = "engines";
    int endpointCount = 6;
    Duration timeToCrash = std::chrono::milliseconds(2);
    Duration restartTime = std::chrono::milliseconds(150);
};

/** Three entry daemons with one store, and endpoints that crash under bad requests and restart with new ids. */
struct CrashFixture
{
    FleetOptions options;
    /** Fakes and callers run on the loop of the first daemon, so the daemons go before them. */
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::unique_ptr<FakeStore> store;
    std::unique_ptr<HttpPool> callers;
    std::vector<std::unique_ptr<FakeEndpoint>> engines;
    /** Requests with a bad part that reached an engine, each of which crashed it. */
    int crashCount = 0;
    int startCount = 0;
    int requestCount = 0;

    explicit CrashFixture(FleetOptions fleetOptions = FleetOptions())
        : options(std::move(fleetOptions))
    {
        for (int i = 0; i < daemonCount; ++i) {
            daemons.push_back(std::make_unique<Daemon>(i));
        }
        store = std::make_unique<FakeStore>(loop(), parseSocketAddress(addressOf(storePort)));
        callers = std::make_unique<HttpPool>(loop());
        store->put("op", "config", configText());
        engines.resize(static_cast<std::size_t>(options.endpointCount));
        for (std::size_t i = 0; i < engines.size(); ++i) {
            startEngine(i);
        }
        for (const std::unique_ptr<Daemon> &daemon : daemons) {
            REQUIRE(daemon->role.open());
        }
        REQUIRE(runUntil([this]() {
            for (const std::unique_ptr<Daemon> &daemon : daemons) {
                if (!daemon->role.hasInitialState()) {
                    return false;
                }
            }
            return true;
        }));
    }

    Loop &loop()
    {
        return daemons.front()->core.loop();
    }

    void startEngine(std::size_t index)
    {
        const std::string id = "i-" + std::to_string(++startCount);
        const std::string address = addressOf(firstEnginePort + static_cast<int>(index));
        engines[index] = std::make_unique<FakeEndpoint>(loop(), parseSocketAddress(address), id);
        engines[index]->timeToCrash = options.timeToCrash;
        engines[index]->crashes = [](const HttpIncomingRequest &request) {
            return isBad(request);
        };
        engines[index]->onCrash = [this, index, id]() {
            if (engines[index] == nullptr || engines[index]->instanceId != id) {
                return;
            }
            ++crashCount;
            engines[index].reset();
            store->put("servers", id, std::string(), true);
            loop().timers().subscribeOnce(options.restartTime, [this, index](TimePoint) {
                startEngine(index);
            });
        };
        const nlohmann::json entry
            = {{"service", options.service}, {"addr", address}, {"zone", "a"},        {"slots", 8},
               {"state", "ready"},           {"sequence", 1},   {"born", startCount}, {"models", {{{"name", "m"}, {"version", 1}}}}};
        store->put("servers", id, entry.dump());
    }

    /** Runs the loops of all daemons in turn. */
    bool runUntil(const std::function<bool()> &isDone)
    {
        const TimePoint deadline = Loop::now() + std::chrono::seconds(20);
        while (!isDone() && Loop::now() < deadline) {
            for (const std::unique_ptr<Daemon> &daemon : daemons) {
                daemon->core.timers().subscribeOnce(std::chrono::milliseconds(1), [&daemon](TimePoint) {
                    daemon->core.loop().stop();
                });
                daemon->core.loop().run();
            }
        }
        return isDone();
    }

    void runFor(Duration time)
    {
        const TimePoint end = Loop::now() + time;
        runUntil([end]() {
            return Loop::now() >= end;
        });
    }

    /** Sends a request for a model. Its outcome is complete once Outcome::isDone is set. */
    std::shared_ptr<Outcome> send(int daemon, const std::string &parts)
    {
        HttpCall call = makeCall(daemon, "/model/x");
        call.head.set("Citronspar-Prompt-Prefix", parts + ",own" + std::to_string(requestCount) + ":50");
        call.body = "body " + std::to_string(requestCount);
        return start(std::move(call));
    }

    /** Sends a request without a prompt. */
    std::shared_ptr<Outcome> sendPlain(int daemon, const std::string &body)
    {
        HttpCall call = makeCall(daemon, "/plain/x");
        call.body = body;
        return start(std::move(call));
    }

    Outcome wait(const std::shared_ptr<Outcome> &outcome)
    {
        REQUIRE(runUntil([&]() {
            return outcome->isDone;
        }));
        return *outcome;
    }

    Outcome sendAndWait(int daemon, const std::string &parts)
    {
        return wait(send(daemon, parts));
    }

private:
    HttpCall makeCall(int daemon, const std::string &target)
    {
        HttpCall call;
        call.target = parseSocketAddress(settingsOf(daemon).httpListen);
        call.poolKey = "daemon " + std::to_string(daemon);
        call.head.method = "POST";
        call.head.target = target;
        call.head.set("Host", "h");
        call.head.set("Authorization", "Bearer key");
        call.head.set("Citronspar-Request-Id", "r" + std::to_string(++requestCount));
        return call;
    }

    std::shared_ptr<Outcome> start(HttpCall call)
    {
        const std::shared_ptr<Outcome> outcome = std::make_shared<Outcome>();
        callers->fetch(std::move(call), std::chrono::seconds(3),
                       [outcome](HttpCallResult result, const HttpHead &head, const std::string &) {
                           *outcome = Outcome{true, result, head.status, head.find("Retry-After") != nullptr};
                       });
        return outcome;
    }
};

}
