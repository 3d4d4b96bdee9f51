#include "servers/kvlinkbudget.h"
#include "servers/residentprefixes.h"
#include "servers/storedprefixes.h"
#include "servers/transferplanner.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

const TimePoint now{std::chrono::seconds(100)};

}

TEST_CASE("[KvLinkBudget] After a cold start the backlog of fetches stays bounded")
{
    // All engines start with empty caches, and every request (one every 30 ms) would fetch 2 GB.
    constexpr double link = 7e10;
    constexpr double prefix = 2e9;
    constexpr Duration maxBacklog = std::chrono::milliseconds(400);
    KvLinkBudget budget;
    budget.setLink(link, 5);
    double moved = 0;
    TimePoint time = now;
    for (int i = 0; i < 600; ++i) {
        time += std::chrono::milliseconds(30);
        if (budget.backlog(time) < maxBacklog) {
            budget.add(prefix, time);
            moved += prefix;
        }
        CHECK(budget.backlog(time) < maxBacklog + std::chrono::milliseconds(200));
    }
    // The daemon still uses its full share of the link.
    CHECK(moved > 0.9 * link / 5 * 18);
    CHECK(moved < 1.1 * link / 5 * 18);
}

TEST_CASE("[StoredPrefixes] Parts that the store holds are not saved again, unconfirmed and dropped parts are")
{
    StoredPrefixes prefixes{StoredPrefixes::Settings()};
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now));
    prefixes.recordSaveStarted("w1", {"a", "b"}, now);
    CHECK_FALSE(prefixes.shouldSave("w1", {"a", "b"}, now));
    // No event has confirmed the save.
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now + std::chrono::seconds(2)));
    prefixes.recordStored("w1", "a", now);
    prefixes.recordStored("w1", "b", now);
    CHECK(prefixes.holdsAll("w1", {"a", "b"}, now + std::chrono::seconds(2)));
    CHECK(prefixes.shouldSave("w2", {"a", "b"}, now));
    prefixes.recordDropped("w1", "b");
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now));
    prefixes.recordStored("w1", "b", now);
    prefixes.clear();
    CHECK_FALSE(prefixes.holdsAll("w1", {"a"}, now));
    prefixes.setReachable(false);
    CHECK_FALSE(prefixes.shouldSave("w1", {"a"}, now));
}

TEST_CASE("[ResidentPrefixes] A prefix counts as cached only on the engine that prefilled it, and for a limited time")
{
    ResidentPrefixes resident(std::chrono::seconds(6));
    resident.recordPrefilled("engine", 7, now);
    CHECK(resident.isResident("engine", 7, now + std::chrono::seconds(5)));
    CHECK_FALSE(resident.isResident("engine", 8, now));
    CHECK_FALSE(resident.isResident("other", 7, now));
    CHECK_FALSE(resident.isResident("engine", 7, now + std::chrono::seconds(7)));
}

namespace
{

TransferQuery queryAt(const std::string &engine, bool isHome)
{
    TransferQuery query;
    query.engine = engine;
    query.isHome = isHome;
    query.source = "source";
    query.templateSource = "template source";
    query.salt = "w1";
    query.prefixHash = 7;
    query.templateHash = 3;
    query.sharedParts = {"a", "b"};
    query.templateTokens = 2700;
    query.sharedTokens = 6300;
    query.ownTokens = 2900;
    query.bytesPerToken = 327680;
    return query;
}

bool isAnyUsable(const std::string &)
{
    return true;
}

}

TEST_CASE("[TransferPlanner] A prefix is prefilled once, saved once, and fetched from the engine that has it")
{
    TransferPlanner planner;
    planner.setLink(7e10, 5);
    TransferQuery query = queryAt("one", true);
    CHECK(planner.plan(query, isAnyUsable, now).savesToStore);
    CHECK_FALSE(planner.plan(query, isAnyUsable, now).savesToStore);
    planner.recordPrefilled("one", "w1", 7, now);
    const TransferPlan resident = planner.plan(query, isAnyUsable, now);
    CHECK(resident.fetchFromEngine.empty());
    CHECK_FALSE(resident.fetchesFromStore);
    CHECK_FALSE(resident.savesToStore);
    // Another engine fetches it from the engine that prefilled it.
    query.engine = "two";
    query.isHome = false;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "one");
    // An unreachable source would cost some hundred milliseconds. The store is used instead, as the prefix was saved there.
    const ResidentPrefixes::EngineFilter isNotOne = [](const std::string &engine) {
        return engine != "one";
    };
    CHECK(planner.plan(query, isNotOne, now).fetchesFromStore);
    // After a weights change earlier records don't count, but requests of other daemons may have prefilled the prefix at its home.
    query.salt = "w2";
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "source");
    query.sharedTokens = 200;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine.empty());
}

TEST_CASE("[TransferPlanner] The first part of a new prefix is fetched from an engine that has it")
{
    // After a weights change hundreds of prefixes are new, and all of them begin with one of a few first parts.
    TransferPlanner planner;
    planner.setLink(7e10, 24);
    int fromStore = 0;
    for (std::uint64_t prefix = 100; prefix < 400; ++prefix) {
        const std::string engine = "engine-" + std::to_string(prefix % 45);
        TransferQuery query = queryAt(engine, true);
        query.prefixHash = prefix;
        const TransferPlan plan = planner.plan(query, isAnyUsable, now);
        const bool isFirstOnEngine = prefix < 145;
        fromStore += isFirstOnEngine && plan.fetchesFromStore ? 1 : 0;
        // The others fetch it from an engine, and none prefills it again.
        CHECK((!isFirstOnEngine || plan.fetchesFromStore || plan.fetchFromEngine.rfind("engine-", 0) == 0));
        planner.recordPrefilled(engine, "w1", prefix, now);
        planner.recordPrefilled(engine, "w1", 3, now);
    }
    CHECK(fromStore == 1);
}

TEST_CASE("[TransferPlanner] The first part comes from the store if no engine is known to have it, unless the store is unreachable")
{
    TransferPlanner planner;
    planner.setLink(7e10, 5);
    const TransferQuery query = queryAt("one", true);
    planner.storedPrefixes().recordStored("w1", "a", now);
    CHECK(planner.plan(query, isAnyUsable, now).fetchesFromStore);
    planner.storedPrefixes().setReachable(false);
    const TransferPlan plan = planner.plan(query, isAnyUsable, now);
    CHECK(plan.fetchFromEngine == "template source");
    CHECK_FALSE(plan.savesToStore);
}

TEST_CASE("[TransferPlanner] Nothing is fetched from an engine that is known to lack the prefix")
{
    TransferPlanner planner;
    planner.setLink(7e10, 5);
    planner.storedPrefixes().setReachable(false);
    TransferQuery query = queryAt("one", false);
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "source");
    query.knownPrefixes = 1;
    query.sourcePrefixes = 0;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine.empty());
    // Another engine most likely has at least the first part.
    query.knownPrefixes = 0;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "template source");
    query.sourcePrefixes = 2;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "source");
}
