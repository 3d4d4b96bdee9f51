#include "servers/endpointdirectory.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

constexpr Duration grace = std::chrono::seconds(2);
const TimePoint start{std::chrono::seconds(100)};

ListedEndpoint endpoint(const std::string &id, bool isDraining = false)
{
    ListedEndpoint result;
    result.id = id;
    result.service = "pool";
    result.isDraining = isDraining;
    return result;
}

}

TEST_CASE("[EndpointDirectory] A draining or removed endpoint receives no requests")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("a"));
    directory.put(endpoint("b"));
    CHECK(directory.available("pool").size() == 2);
    directory.put(endpoint("a", true));
    directory.remove("b", start);
    CHECK(directory.available("pool").empty());
    CHECK(directory.available("other").empty());
}

TEST_CASE("[EndpointDirectory] An entry that expired during an outage is kept for the grace period")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("returns"));
    directory.put(endpoint("stays away"));
    directory.recordOutage(start);
    directory.replaceAll({}, start + std::chrono::milliseconds(100));
    CHECK(directory.available("pool").size() == 2);
    directory.put(endpoint("returns"));
    CHECK_FALSE(directory.applyDueRemovals(start + std::chrono::seconds(1)));
    CHECK(directory.applyDueRemovals(start + grace));
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->id == "returns");
}

TEST_CASE("[EndpointDirectory] A draining endpoint is removed at once despite an outage")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("a", true));
    directory.recordOutage(start);
    directory.remove("a", start);
    CHECK(directory.all().empty());
}

TEST_CASE("[EndpointDirectory] The grace period starts at the end of the outage")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("a"));
    directory.recordOutage(start);
    directory.remove("a", start);
    directory.recordOutage(start + std::chrono::seconds(3));
    CHECK_FALSE(directory.applyDueRemovals(start + std::chrono::seconds(4)));
    CHECK(directory.applyDueRemovals(start + std::chrono::seconds(5)));
}

TEST_CASE("[EndpointDirectory] An endpoint that has announced that it leaves is not used if an older copy of the list lacks that")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("a"));
    directory.put(endpoint("a", true));
    directory.replaceAll({endpoint("a")}, start, true);
    CHECK(directory.available("pool").empty());
    directory.remove("a", start);
    directory.replaceAll({endpoint("a")}, start, true);
    CHECK(directory.available("pool").empty());
    directory.put(endpoint("a"));
    CHECK(directory.available("pool").empty());
    ListedEndpoint restarted = endpoint("a");
    restarted.startedMs = 5000;
    directory.put(restarted);
    CHECK(directory.available("pool").size() == 1);
}

TEST_CASE("[EndpointDirectory] An endpoint that was removed is not used if an older copy of the list has it, until it is heard of again")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("gone"));
    directory.put(endpoint("returns"));
    directory.put(endpoint("silent"));
    directory.put(endpoint("stays"));
    for (const char *id : {"gone", "returns", "silent"}) {
        directory.remove(id, start);
    }
    directory.replaceAll({endpoint("gone"), endpoint("returns"), endpoint("silent"), endpoint("stays")}, start, true);
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->id == "stays");
    directory.put(endpoint("returns"));
    CHECK(directory.available("pool").size() == 2);
    directory.remove("gone", start + std::chrono::seconds(3));
    directory.applyDueRemovals(start + std::chrono::seconds(4));
    CHECK(directory.available("pool").size() == 2);
    // One that is still listed after the time in which a dead one expires is running, and had only lost its entry for a moment.
    CHECK(directory.applyDueRemovals(start + std::chrono::seconds(20)));
    CHECK(directory.available("pool").size() == 3);
    CHECK(directory.find("gone") == nullptr);
}

TEST_CASE("[EndpointDirectory] A removed endpoint that one older copy of the list has and the next one lacks is not used")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("gone"));
    directory.put(endpoint("silent"));
    directory.remove("gone", start);
    directory.remove("silent", start);
    directory.replaceAll({endpoint("gone"), endpoint("silent")}, start + std::chrono::seconds(1), true);
    // The store is restored again, or its history was dropped, and the list is read again.
    const bool isOlderCopy = GENERATE(true, false);
    directory.replaceAll({}, start + std::chrono::seconds(3), isOlderCopy);
    CHECK_FALSE(directory.applyDueRemovals(start + std::chrono::seconds(20)));
    CHECK(directory.available("pool").empty());
    // A third copy that has the entry again starts its wait anew.
    directory.replaceAll({endpoint("silent")}, start + std::chrono::seconds(21), true);
    CHECK(directory.available("pool").empty());
    CHECK(directory.applyDueRemovals(start + std::chrono::seconds(26)));
    CHECK(directory.available("pool").size() == 1);
}

TEST_CASE("[EndpointDirectory] An older copy of the list that has an earlier start of an endpoint changes nothing about the later one")
{
    EndpointDirectory directory(grace);
    ListedEndpoint first = endpoint("a");
    first.startedMs = 1000;
    ListedEndpoint second = endpoint("a");
    second.startedMs = 2000;
    directory.put(first);
    directory.put(second);
    directory.replaceAll({first}, start, true);
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->startedMs == 2000);
    second.isDraining = true;
    directory.put(second);
    directory.replaceAll({first}, start, true);
    CHECK(directory.available("pool").empty());
    directory.remove("a", start);
    directory.replaceAll({first}, start, true);
    CHECK(directory.available("pool").empty());
    ListedEndpoint third = endpoint("a");
    third.startedMs = 3000;
    directory.put(third);
    CHECK(directory.available("pool").size() == 1);
}

TEST_CASE("[EndpointDirectory] An endpoint that an older copy of the list lacks is kept for the grace period")
{
    EndpointDirectory directory(grace);
    directory.put(endpoint("new"));
    directory.recordOutage(start);
    directory.replaceAll({}, start, true);
    CHECK(directory.available("pool").size() == 1);
    CHECK(directory.applyDueRemovals(start + grace));
    CHECK(directory.available("pool").empty());
}

TEST_CASE("[EndpointDirectory] Of two incarnations at one address only the newer one receives requests")
{
    EndpointDirectory directory(grace);
    ListedEndpoint old = endpoint("old");
    old.address = "10.0.0.1:80";
    old.startedMs = 1000;
    ListedEndpoint restarted = endpoint("a restarted one");
    restarted.address = old.address;
    restarted.startedMs = 2000;
    directory.put(restarted);
    directory.put(old);
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->id == restarted.id);
}

namespace
{

ListedEndpoint endpointAt(const std::string &id, const std::string &service, std::int64_t startedMs)
{
    ListedEndpoint result = endpoint(id);
    result.service = service;
    result.address = "10.0.0.1:80";
    result.startedMs = startedMs;
    return result;
}

}

TEST_CASE("[EndpointDirectory] An entry of a service that no configuration has named displaces no endpoint, and counts once one names it")
{
    EndpointDirectory directory(grace);
    directory.put(endpointAt("own", "pool", 1000));
    directory.put(endpointAt("foreign", "inventory", 2000));
    directory.setServices({"pool"});
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.find("foreign") == nullptr);
    CHECK(directory.all().size() == 1);
    CHECK(directory.inForce().size() == 1);
    CHECK(directory.atAddress("10.0.0.1:80").size() == 1);
    directory.setServices({"pool", "inventory"});
    CHECK(directory.find("foreign") != nullptr);
    CHECK(directory.available("inventory").size() == 1);
}

TEST_CASE("[EndpointDirectory] A service that the configuration drops keeps its endpoints, but displaces none of another service")
{
    EndpointDirectory directory(grace);
    directory.setServices({"pool", "dropped"});
    directory.put(endpointAt("own", "pool", 1000));
    ListedEndpoint other = endpointAt("elsewhere", "dropped", 1000);
    other.address = "10.0.0.2:80";
    directory.put(other);
    directory.setServices({"pool"});
    CHECK(directory.available("dropped").size() == 1);
    directory.put(endpointAt("late", "dropped", 2000));
    CHECK(directory.available("pool").size() == 1);
    // The name is forgotten with its last entry.
    directory.remove("elsewhere", start);
    directory.remove("late", start);
    directory.setServices({"pool"});
    directory.put(other);
    CHECK(directory.available("dropped").empty());
}

TEST_CASE("[EndpointDirectory] The endpoint that states its id is in force at its address until another start is listed there")
{
    EndpointDirectory directory(grace);
    directory.put(endpointAt("own", "pool", 1000));
    CHECK_FALSE(directory.recordOccupant("10.0.0.1:80", "own"));
    directory.put(endpointAt("foreign", "pool", 2000));
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->id == "foreign");
    CHECK_FALSE(directory.recordOccupant("10.0.0.1:80", "unlisted"));
    CHECK(directory.recordOccupant("10.0.0.1:80", "own"));
    CHECK(directory.available("pool").front()->id == "own");
    // Entries of known starts that are written again have no effect.
    directory.put(endpointAt("foreign", "pool", 2000));
    directory.put(endpointAt("own", "pool", 1000));
    CHECK(directory.available("pool").front()->id == "own");
    directory.put(endpointAt("restarted", "pool", 3000));
    REQUIRE(directory.available("pool").size() == 1);
    CHECK(directory.available("pool").front()->id == "restarted");
}
