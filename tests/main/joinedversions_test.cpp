#include "tests/fakes/crashfleet.h"
#include "tests/soak/faultproxy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using namespace citronspar::fakes;
using crashfleet::addressOf;
using crashfleet::daemonCount;
using crashfleet::settingsOf;
using Behaviour = FakeEndpoint::Behaviour;
using soak::FaultProxy;

namespace
{

constexpr int storeLinkPort = crashfleet::firstDaemonPort + crashfleet::portsPerDaemon * daemonCount;

struct Stream
{
    bool isDone = false;
    std::string id;
    HttpCallResult result = HttpCallResult::NotSent;
    int status = 0;
    std::string body;

    bool isComplete() const
    {
        return result == HttpCallResult::Complete && status == 200;
    }

    bool hasPiece(int number) const
    {
        return body.find("piece " + std::to_string(number) + "\n") != std::string::npos;
    }
};

/** Three real entry daemons that can be restarted together, before model engines of several software versions in one service. */
struct VersionFleet
{
    Loop loop;
    FakeStore store;
    /** The first daemon reaches the store through it. */
    FaultProxy storeLink;
    HttpPool callers;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<std::string> versions;
    std::vector<std::unique_ptr<crashfleet::Daemon>> daemons;
    int requestCount = 0;
    /** Whether the first daemon is paused. */
    bool isPaused = false;

    /** @param listedCount how many of the endpoints are listed at first */
    explicit VersionFleet(std::vector<std::string> softwareVersions, std::size_t listedCount = 100)
        : store(loop, parseSocketAddress(addressOf(crashfleet::storePort)))
        , storeLink(loop, parseSocketAddress(addressOf(storeLinkPort)), parseSocketAddress(addressOf(crashfleet::storePort)))
        , callers(loop)
        , versions(std::move(softwareVersions))
    {
        store.put("op", "config", crashfleet::configText());
        for (std::size_t i = 0; i < versions.size(); ++i) {
            endpoints.push_back(std::make_unique<FakeEndpoint>(loop, parseSocketAddress(endpointAddress(i)), endpointId(i)));
            if (i < listedCount) {
                list(i);
            }
        }
        startDaemons();
    }

    static std::string endpointId(std::size_t index)
    {
        return "i-" + std::to_string(index);
    }

    static std::string endpointAddress(std::size_t index)
    {
        return addressOf(crashfleet::firstEnginePort + static_cast<int>(index));
    }

    void list(std::size_t index)
    {
        const nlohmann::json entry = {{"service", "engines"},
                                      {"addr", endpointAddress(index)},
                                      {"zone", "a"},
                                      {"version", versions[index]},
                                      {"slots", 8},
                                      {"state", "ready"},
                                      {"sequence", 1},
                                      {"born", 1000},
                                      {"models", {{{"name", "m"}, {"version", 1}}}}};
        store.put("servers", endpointId(index), entry.dump());
    }

    void unlist(std::size_t index)
    {
        store.put("servers", endpointId(index), std::string(), true);
    }

    void startDaemons()
    {
        daemons.clear();
        for (int i = 0; i < daemonCount; ++i) {
            Settings settings = settingsOf(i);
            if (i == 0) {
                settings.table = addressOf(storeLinkPort);
            }
            daemons.push_back(std::make_unique<crashfleet::Daemon>(settings));
            REQUIRE(daemons.back()->role.open());
        }
        REQUIRE(runUntil([this]() {
            return std::all_of(daemons.begin(), daemons.end(), [](const std::unique_ptr<crashfleet::Daemon> &daemon) {
                return daemon->role.hasInitialState();
            });
        }));
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const TimePoint deadline = Loop::now() + std::chrono::seconds(20);
        while (!isDone() && Loop::now() < deadline) {
            runBriefly(loop);
            for (std::size_t i = isPaused ? 1 : 0; i < daemons.size(); ++i) {
                runBriefly(daemons[i]->core.loop());
            }
        }
        return isDone();
    }

    static void runBriefly(Loop &running)
    {
        running.timers().subscribeOnce(std::chrono::milliseconds(1), [&running](TimePoint) {
            running.stop();
        });
        running.run();
    }

    void runFor(Duration time)
    {
        const TimePoint end = Loop::now() + time;
        runUntil([end]() {
            return Loop::now() >= end;
        });
    }

    /** Sends a request to a daemon in turn. With @p resumes or @p lastEventId it takes a stream up. */
    Stream stream(const std::string &lastEventId = std::string(), const std::string &resumes = std::string(),
                  const std::string &key = "key")
    {
        return streamAt((requestCount + 1) % daemonCount, lastEventId, resumes, key);
    }

    Stream streamAt(int daemon, const std::string &lastEventId = std::string(), const std::string &resumes = std::string(),
                    const std::string &key = "key")
    {
        HttpCall call;
        ++requestCount;
        call.target = parseSocketAddress(settingsOf(daemon).httpListen);
        call.poolKey = "request " + std::to_string(requestCount);
        call.head.method = "POST";
        call.head.target = "/model/x";
        call.head.set("Host", "h");
        call.head.set("Authorization", "Bearer " + key);
        call.head.set("Citronspar-Request-Id", "r" + std::to_string(requestCount));
        call.head.set("Citronspar-Prompt-Prefix",
                      "group" + std::to_string(requestCount) + ":100,own" + std::to_string(requestCount) + ":50");
        if (!lastEventId.empty()) {
            call.head.set("Last-Event-Id", lastEventId);
        }
        if (!resumes.empty()) {
            call.head.set("Resumes", resumes);
        }
        call.body = "body " + std::to_string(requestCount);
        Stream stream;
        stream.id = "r" + std::to_string(requestCount);
        callers.fetch(std::move(call), std::chrono::seconds(3),
                      [&stream](HttpCallResult result, const HttpHead &head, const std::string &body) {
                          stream.isDone = true;
                          stream.result = result;
                          stream.status = head.status;
                          stream.body = body;
                      });
        REQUIRE(runUntil([&stream]() {
            return stream.isDone;
        }));
        return stream;
    }

    /** How many requests that take a stream up, or go on with it, have reached an endpoint. */
    std::size_t takeUps(std::size_t index) const
    {
        const std::vector<FakeEndpoint::Received> &received = endpoints[index]->received;
        return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [](const FakeEndpoint::Received &request) {
            return request.head.find("Last-Event-Id") != nullptr;
        }));
    }

    /** Begins streams until @p count are broken off after their second event. */
    std::vector<Stream> breakStreams(std::size_t count)
    {
        std::vector<Stream> broken;
        for (int i = 0; i < 60 && broken.size() < count; ++i) {
            const Stream begun = stream();
            if (begun.result == HttpCallResult::Broken && begun.hasPiece(2)) {
                broken.push_back(begun);
            }
        }
        REQUIRE(broken.size() == count);
        return broken;
    }

    /** A new version joins, and streams begin at it through the other daemons and are broken off. */
    std::vector<Stream> breakStreamsAtNewVersion(std::size_t index, std::size_t count)
    {
        endpoints[index]->behaviour = Behaviour::AbortInEvent;
        list(index);
        runFor(std::chrono::milliseconds(1500));
        std::vector<Stream> broken;
        for (int i = 0; i < 60 && broken.size() < count; ++i) {
            const Stream begun = streamAt(1 + i % (daemonCount - 1));
            if (begun.result == HttpCallResult::Broken && begun.hasPiece(2)) {
                broken.push_back(begun);
            }
        }
        REQUIRE(broken.size() == count);
        return broken;
    }
};

}

TEST_CASE("[JoinedVersions] An answer that breaks off does not go on at another software version")
{
    VersionFleet fleet({"v1", "v2", "v2"});
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    for (int i = 0; i < 20; ++i) {
        const Stream stream = fleet.stream();
        CHECK((stream.isComplete() || !stream.hasPiece(3)));
    }
    REQUIRE_FALSE(fleet.endpoints[0]->received.empty());
    CHECK(fleet.takeUps(1) + fleet.takeUps(2) == 0);
}

TEST_CASE("[JoinedVersions] Streams go on at the version that began them after all entry daemons have restarted")
{
    VersionFleet fleet({"v1", "v2", "v1"});
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    fleet.endpoints[2]->behaviour = Behaviour::AbortInEvent;
    const std::vector<Stream> broken = fleet.breakStreams(6);
    fleet.startDaemons();
    fleet.endpoints[0]->behaviour = Behaviour::SendStream;
    fleet.endpoints[2]->behaviour = Behaviour::SendStream;
    for (const Stream &stream : broken) {
        const Stream rest = fleet.stream("2", stream.id);
        CHECK(rest.isComplete());
        CHECK(rest.hasPiece(3));
        // The rest may be broken off and taken up again, by the id of either attempt.
        CHECK(fleet.stream("3", rest.id).isComplete());
    }
    CHECK(fleet.takeUps(1) == 0);
}

TEST_CASE("[JoinedVersions] A stream whose version is unknown or gone is refused at once")
{
    VersionFleet fleet({"v1", "v2", "v1"});
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    fleet.endpoints[2]->behaviour = Behaviour::AbortInEvent;
    const Stream broken = fleet.breakStreams(1).front();
    const std::size_t takeUps = fleet.takeUps(0) + fleet.takeUps(2);
    for (const std::string &resumes : {std::string("never-begun"), std::string(), std::string(3000, 'x'), std::string("a/b c?d=%00")}) {
        CHECK(fleet.stream("2", resumes).status == 503);
    }
    // An id of another client account is not found.
    CHECK(fleet.stream("2", broken.id, "other key").status == 503);
    fleet.unlist(0);
    fleet.unlist(2);
    fleet.runFor(std::chrono::milliseconds(1500));
    const TimePoint begin = Loop::now();
    CHECK(fleet.stream("2", broken.id).status == 503);
    CHECK(Loop::now() - begin < std::chrono::seconds(1));
    CHECK(fleet.takeUps(0) + fleet.takeUps(2) == takeUps);
    CHECK(fleet.takeUps(1) == 0);
    // New streams begin at the version that serves.
    CHECK(fleet.stream().isComplete());
}

TEST_CASE("[JoinedVersions] Streams of a single version are taken up without a row for each")
{
    VersionFleet fleet({"v1", "v1"});
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    fleet.endpoints[1]->behaviour = Behaviour::AbortInEvent;
    const std::vector<Stream> broken = fleet.breakStreams(3);
    fleet.startDaemons();
    fleet.endpoints[0]->behaviour = Behaviour::SendStream;
    fleet.endpoints[1]->behaviour = Behaviour::SendStream;
    for (const Stream &stream : broken) {
        CHECK(fleet.stream("2", stream.id).isComplete());
    }
    CHECK(fleet.stream("2").isComplete());
    CHECK_FALSE(fleet.store.hasRows("streams"));
}

TEST_CASE("[JoinedVersions] A stream that began before a new version came goes on at the old one after all entry daemons have restarted")
{
    VersionFleet fleet({"v1", "v1", "v2"});
    fleet.unlist(2);
    fleet.runFor(std::chrono::milliseconds(1500));
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    fleet.endpoints[1]->behaviour = Behaviour::AbortInEvent;
    fleet.startDaemons();
    const std::vector<Stream> broken = fleet.breakStreams(3);
    fleet.list(2);
    fleet.runFor(std::chrono::milliseconds(1500));
    fleet.startDaemons();
    fleet.endpoints[0]->behaviour = Behaviour::SendStream;
    fleet.endpoints[1]->behaviour = Behaviour::SendStream;
    for (const Stream &stream : broken) {
        fleet.stream("2", stream.id);
    }
    CHECK(fleet.takeUps(2) == 0);
}

TEST_CASE("[JoinedVersions] A daemon that was cut from the store while a new version joined takes no stream of it up at the old one")
{
    const FaultProxy::Mode mode = GENERATE(FaultProxy::Mode::DropBoth, FaultProxy::Mode::DropToClient, FaultProxy::Mode::Reset);
    VersionFleet fleet({"v1", "v2"}, 1);
    fleet.storeLink.setMode(mode);
    const std::vector<Stream> broken = fleet.breakStreamsAtNewVersion(1, 2);
    for (const Stream &stream : broken) {
        CHECK(fleet.streamAt(0, "2", stream.id).status == 503);
    }
    fleet.storeLink.setMode(FaultProxy::Mode::Pass);
    for (const Stream &stream : broken) {
        fleet.streamAt(0, "2", stream.id);
    }
    CHECK(fleet.takeUps(0) == 0);
    // New streams begin at either version throughout.
    CHECK(fleet.streamAt(0).hasPiece(1));
}

TEST_CASE("[JoinedVersions] A daemon that stood still while a new version joined takes no stream of it up at the old one")
{
    VersionFleet fleet({"v1", "v2"}, 1);
    fleet.isPaused = true;
    const std::vector<Stream> broken = fleet.breakStreamsAtNewVersion(1, 2);
    fleet.isPaused = false;
    for (const Stream &stream : broken) {
        fleet.streamAt(0, "2", stream.id);
    }
    CHECK(fleet.takeUps(0) == 0);
}

TEST_CASE("[JoinedVersions] A daemon that can't read the versions begins streams, and takes them up again once it can")
{
    VersionFleet fleet({"v1", "v1"});
    fleet.endpoints[0]->behaviour = Behaviour::AbortInEvent;
    fleet.endpoints[1]->behaviour = Behaviour::AbortInEvent;
    const std::vector<Stream> broken = fleet.breakStreams(3);
    fleet.endpoints[0]->behaviour = Behaviour::SendStream;
    fleet.endpoints[1]->behaviour = Behaviour::SendStream;
    fleet.storeLink.setMode(FaultProxy::Mode::Reset);
    CHECK(fleet.streamAt(0).isComplete());
    const TimePoint begin = Loop::now();
    CHECK(fleet.streamAt(0, "2", broken[0].id).status == 503);
    CHECK(Loop::now() - begin < std::chrono::seconds(1));
    CHECK(fleet.streamAt(1, "2", broken[1].id).isComplete());
    fleet.storeLink.setMode(FaultProxy::Mode::Pass);
    CHECK(fleet.streamAt(0, "2", broken[2].id).isComplete());
}
