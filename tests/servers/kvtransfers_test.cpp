#include "servers/engineresidents.h"
#include "servers/kvlinkbudget.h"
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
    // Load: all engines start empty, and each of 6 requests a second and daemon would fetch 2 GB.
    constexpr double link = 7e10;
    constexpr double prefix = 2e9;
    constexpr Duration most = std::chrono::milliseconds(400);
    KvLinkBudget budget;
    budget.setLink(link, 5);
    double moved = 0;
    TimePoint time = now;
    for (int i = 0; i < 600; ++i) {
        time += std::chrono::milliseconds(30);
        if (budget.backlog(time) < most) {
            budget.add(prefix, time);
            moved += prefix;
        }
        CHECK(budget.backlog(time) < most + std::chrono::milliseconds(200));
    }
    // Yet the daemon uses its share of the link.
    CHECK(moved > 0.9 * link / 5 * 18);
    CHECK(moved < 1.1 * link / 5 * 18);
}

TEST_CASE("[StoredPrefixes] What the store holds is not saved again, what it lost is")
{
    StoredPrefixes prefixes{StoredPrefixes::Settings()};
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now));
    prefixes.noteSaving("w1", {"a", "b"}, now);
    CHECK_FALSE(prefixes.shouldSave("w1", {"a", "b"}, now));
    // No event confirms it.
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now + std::chrono::seconds(2)));
    prefixes.noteStored("w1", "a", now);
    prefixes.noteStored("w1", "b", now);
    CHECK(prefixes.holdsAll("w1", {"a", "b"}, now + std::chrono::seconds(2)));
    CHECK(prefixes.shouldSave("w2", {"a", "b"}, now));
    prefixes.noteDropped("w1", "b");
    CHECK(prefixes.shouldSave("w1", {"a", "b"}, now));
    prefixes.noteStored("w1", "b", now);
    prefixes.clear();
    CHECK_FALSE(prefixes.holdsAll("w1", {"a"}, now));
    prefixes.setReachable(false);
    CHECK_FALSE(prefixes.shouldSave("w1", {"a"}, now));
}

TEST_CASE("[EngineResidents] A prefix is taken for present only where and as long as it was read")
{
    EngineResidents residents(std::chrono::seconds(6));
    residents.noteRead("engine", 7, now);
    CHECK(residents.isResident("engine", 7, now + std::chrono::seconds(5)));
    CHECK_FALSE(residents.isResident("engine", 8, now));
    CHECK_FALSE(residents.isResident("other", 7, now));
    CHECK_FALSE(residents.isResident("engine", 7, now + std::chrono::seconds(7)));
}

TEST_CASE("[TransferPlanner] A prefix is read once, saved once, and fetched where it is near")
{
    TransferPlanner planner;
    planner.setLink(7e10, 5);
    TransferQuestion question;
    question.engine = "one";
    question.salt = "w1";
    question.prefixHash = 7;
    question.sharedParts = {"a", "b"};
    question.sharedTokens = 6300;
    question.ownTokens = 2900;
    question.bytesPerToken = 327680;
    const TransferPlan first = planner.plan(question, now);
    CHECK(first.fetchFrom == TransferPlan::Source::Store);
    CHECK(first.savesToStore);
    CHECK_FALSE(planner.plan(question, now).savesToStore);
    planner.noteRead("one", "w1", 7, now);
    CHECK(planner.plan(question, now).fetchFrom == TransferPlan::Source::None);
    question.engine = "two";
    question.home = "one";
    CHECK(planner.plan(question, now).fetchFrom == TransferPlan::Source::Home);
    // After new weights nothing of before counts.
    question.salt = "w2";
    CHECK(planner.plan(question, now).fetchFrom != TransferPlan::Source::Home);
    question.sharedTokens = 200;
    CHECK(planner.plan(question, now).fetchFrom == TransferPlan::Source::None);
    question.sharedTokens = 6300;
    planner.stored().setReachable(false);
    CHECK(planner.plan(question, now).fetchFrom == TransferPlan::Source::None);
}
