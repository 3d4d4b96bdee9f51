#include "servers/kvlinkbudget.h"
#include "servers/kvstorepool.h"
#include "servers/prefixdirectory.h"
#include "servers/residentprefixes.h"
#include "servers/storedprefixes.h"
#include "servers/transferplanner.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

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

const std::string storeAddress = "10.0.0.1:80";

/** A planner with one KV cache store whose link has 70 GB/s. */
TransferPlanner plannerWithStore(int daemons)
{
    TransferPlanner planner;
    planner.stores().setStores({KvStoreInfo{storeAddress, 1000000, 7e10}}, daemons);
    return planner;
}

StoredPrefixes &storedPrefixes(TransferPlanner &planner)
{
    return planner.stores().find(storeAddress)->stored;
}

}

TEST_CASE("[TransferPlanner] A prefix is prefilled once, saved once, and fetched from the engine that has it")
{
    TransferPlanner planner = plannerWithStore(5);
    TransferQuery query = queryAt("one", true);
    CHECK(planner.plan(query, isAnyUsable, now).saveToStore == storeAddress);
    CHECK(planner.plan(query, isAnyUsable, now).saveToStore.empty());
    planner.recordPrefilled("one", "w1", 7, now);
    const TransferPlan resident = planner.plan(query, isAnyUsable, now);
    CHECK(resident.fetchFromEngine.empty());
    CHECK(resident.saveToStore.empty());
    // Another engine fetches it from the engine that prefilled it.
    query.engine = "two";
    query.isHome = false;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "one");
    // An unreachable source would cost some hundred milliseconds. The store is used instead, as the prefix was saved there.
    const ResidentPrefixes::EngineFilter isNotOne = [](const std::string &engine) {
        return engine != "one";
    };
    CHECK(planner.plan(query, isNotOne, now).fetchFromStore == storeAddress);
    // After a weights change earlier records don't count, but requests of other daemons may have prefilled the prefix at its home.
    query.salt = "w2";
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "source");
    query.sharedTokens = 200;
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine.empty());
}

TEST_CASE("[TransferPlanner] The first part of a new prefix is fetched from an engine that has it")
{
    // After a weights change hundreds of prefixes are new, and all of them begin with one of a few first parts.
    TransferPlanner planner = plannerWithStore(24);
    int fromStore = 0;
    for (std::uint64_t prefix = 100; prefix < 400; ++prefix) {
        const std::string engine = "engine-" + std::to_string(prefix % 45);
        TransferQuery query = queryAt(engine, true);
        query.prefixHash = prefix;
        query.sharedParts = {"a", "part " + std::to_string(prefix)};
        const TransferPlan plan = planner.plan(query, isAnyUsable, now);
        const bool isFirstOnEngine = prefix < 145;
        fromStore += isFirstOnEngine && !plan.fetchFromStore.empty() ? 1 : 0;
        // The others fetch it from an engine, and none prefills it again.
        CHECK((!isFirstOnEngine || !plan.fetchFromStore.empty() || plan.fetchFromEngine.rfind("engine-", 0) == 0));
        planner.recordPrefilled(engine, "w1", prefix, now);
        planner.recordPrefilled(engine, "w1", 3, now);
    }
    CHECK(fromStore == 1);
}

TEST_CASE("[TransferPlanner] The first part comes from the store if no engine is known to have it, unless the store is unreachable")
{
    TransferPlanner planner = plannerWithStore(5);
    const TransferQuery query = queryAt("one", true);
    storedPrefixes(planner).recordStored("w1", "a", now);
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromStore == storeAddress);
    storedPrefixes(planner).setReachable(false);
    const TransferPlan plan = planner.plan(query, isAnyUsable, now);
    CHECK(plan.fetchFromEngine == "template source");
    CHECK(plan.saveToStore.empty());
}

TEST_CASE("[TransferPlanner] Nothing is fetched from an engine that is known to lack the prefix")
{
    TransferPlanner planner = plannerWithStore(5);
    storedPrefixes(planner).setReachable(false);
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

TEST_CASE("[TransferPlanner] A prefix that an engine may have evicted is fetched from its store, and nothing is transferred if not")
{
    TransferPlanner planner = plannerWithStore(5);
    TransferQuery query = queryAt("one", true);
    query.knownPrefixes = 2;
    const TransferPlan unsaved = planner.plan(query, isAnyUsable, now);
    CHECK(unsaved.fetchFromStore.empty());
    CHECK(unsaved.saveToStore == storeAddress);
    const TransferPlan saved = planner.plan(query, isAnyUsable, now);
    CHECK(saved.fetchFromStore == storeAddress);
    CHECK(saved.expectedTokens == 0);
}

TEST_CASE("[TransferPlanner] What the prefix's directory knows is used: one daemon sees too few requests to know it")
{
    // One of 30 daemons that share 600 prefixes sees each of them once in two minutes.
    TransferPlanner planner = plannerWithStore(30);
    storedPrefixes(planner).setSubscribed(false);
    TransferQuery query = queryAt("one", true);
    query.knownPrefixes = 0;
    query.sourcePrefixes = 0;
    query.isRecordKnown = true;
    query.record.engine = "two";
    query.record.cachedAge = std::chrono::seconds(1);
    query.record.savedAge = std::chrono::seconds(9);
    const TransferPlan recent = planner.plan(query, isAnyUsable, now);
    CHECK(recent.fetchFromEngine == "two");
    CHECK(recent.expectedTokens == query.sharedTokens);
    // It was saved, so it is not saved again.
    CHECK(recent.saveToStore.empty());
    query.record.cachedAge = std::chrono::seconds(5);
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromStore == storeAddress);
    // Without a store that has it, the engine is still the best source.
    query.record.savedAge.reset();
    CHECK(planner.plan(query, isAnyUsable, now).fetchFromEngine == "two");
    // A subscriber to the store's events knows that the store has dropped it.
    storedPrefixes(planner).setSubscribed(true);
    query.record.engine.clear();
    query.record.savedAge = std::chrono::seconds(9);
    CHECK(planner.plan(query, isAnyUsable, now + std::chrono::seconds(10)).saveToStore == storeAddress);
}

TEST_CASE("[KvStorePool] Prefixes are spread over all reachable stores by their capacity, and keep their store when another is lost")
{
    KvStorePool pool;
    pool.setStores({KvStoreInfo{"a", 1000, 1}, KvStoreInfo{"b", 1000, 1}, KvStoreInfo{"c", 2000, 1}}, 1);
    std::map<std::string, int> counts;
    std::map<std::uint64_t, std::string> storeOf;
    constexpr std::uint64_t prefixes = 4000;
    for (std::uint64_t prefix = 1; prefix <= prefixes; ++prefix) {
        storeOf[prefix] = pool.storeOf(prefix)->info.address;
        ++counts[storeOf[prefix]];
    }
    CHECK(counts["a"] > 850);
    CHECK(counts["a"] < 1150);
    CHECK(counts["c"] > 1850);
    CHECK(counts["c"] < 2150);
    pool.find("b")->stored.setReachable(false);
    for (std::uint64_t prefix = 1; prefix <= prefixes; ++prefix) {
        const std::string store = pool.storeOf(prefix)->info.address;
        CHECK(store != "b");
        CHECK((storeOf[prefix] == "b" || store == storeOf[prefix]));
    }
    pool.find("a")->stored.setReachable(false);
    pool.find("c")->stored.setReachable(false);
    CHECK(pool.storeOf(1) == nullptr);
    pool.setStores({}, 1);
    CHECK(pool.find("a") == nullptr);
}

TEST_CASE("[PrefixDirectory] Records are returned while they are recent enough to be of use")
{
    PrefixDirectory directory;
    CHECK(directory.find(7, now).engine.empty());
    directory.recordCached(7, "one", now);
    directory.recordCached(7, "two", now + std::chrono::seconds(1));
    directory.recordSaved(7, now);
    const PrefixRecord record = directory.find(7, now + std::chrono::seconds(3));
    CHECK(record.engine == "two");
    CHECK(record.cachedAge == std::chrono::seconds(2));
    REQUIRE(record.savedAge.has_value());
    CHECK(*record.savedAge == std::chrono::seconds(3));
    CHECK(directory.find(8, now).engine.empty());
    const PrefixRecord evicted = directory.find(7, now + std::chrono::seconds(10));
    CHECK(evicted.engine.empty());
    CHECK(evicted.savedAge.has_value());
    CHECK_FALSE(directory.find(7, now + std::chrono::seconds(30)).savedAge.has_value());
}

TEST_CASE("[PrefixDirectory] A fleet of many daemons prefills and saves each prefix once")
{
    // 30 daemons, 200 prefixes, 3,000 requests; each engine keeps a prefix for a shorter time than a daemon needs to see it again.
    constexpr int daemons = 30;
    std::vector<TransferPlanner> planners;
    for (int i = 0; i < daemons; ++i) {
        planners.push_back(plannerWithStore(1));
        storedPrefixes(planners.back()).setSubscribed(false);
    }
    const auto countSaves = [&](bool hasDirectory) {
        PrefixDirectory directory;
        int saves = 0;
        for (int i = 0; i < 3000; ++i) {
            const TimePoint time = now + std::chrono::seconds(hasDirectory ? 0 : 100) + std::chrono::milliseconds(4 * i);
            TransferQuery query = queryAt("one", true);
            query.prefixHash = static_cast<std::uint64_t>(i % 200);
            query.sharedParts = {"a", "prefix " + std::to_string(i % 200)};
            if (hasDirectory) {
                query.record = directory.find(i % 200, time);
                query.isRecordKnown = true;
            }
            if (!planners[static_cast<std::size_t>(i * 7 % daemons)].plan(query, isAnyUsable, time).saveToStore.empty()) {
                directory.recordSaved(i % 200, time);
                ++saves;
            }
        }
        return saves;
    };
    CHECK(countSaves(true) == 200);
    // Without it every daemon saves each prefix for itself.
    CHECK(countSaves(false) > 1000);
}
