#include "servers/fairqueue.h"
#include "servers/rendezvous.h"
#include "servers/retrybudget.h"
#include "servers/suspectlist.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace citronspar;

TEST_CASE("[FairQueue] A flood of one account does not keep another waiting")
{
    FairQueue queue;
    for (std::int64_t i = 0; i < 100; ++i) {
        queue.push(FairQueue::Item{{1, i}, "flood", 1000});
    }
    queue.push(FairQueue::Item{{2, 1}, "small", 1000});
    CHECK(queue.tokensAhead("other") <= 2000);
    CHECK(queue.pop()->account == "flood");
    CHECK(queue.pop()->account == "small");
}

TEST_CASE("[FairQueue] Two busy accounts share the tokens evenly, whatever the size of their requests")
{
    FairQueue queue;
    for (std::int64_t i = 0; i < 400; ++i) {
        queue.push(FairQueue::Item{{1, i}, "large", 4000});
        queue.push(FairQueue::Item{{2, i}, "small", 500});
    }
    std::int64_t large = 0;
    std::int64_t small = 0;
    for (int i = 0; i < 200; ++i) {
        const FairQueue::Item item = *queue.pop();
        (item.account == "large" ? large : small) += item.tokens;
    }
    CHECK(std::abs(large - small) <= 4000);
}

TEST_CASE("[FairQueue] A removed item does not come out and its tokens are not counted")
{
    FairQueue queue;
    queue.push(FairQueue::Item{{1, 1}, "a", 100});
    queue.push(FairQueue::Item{{1, 2}, "a", 200});
    CHECK(queue.remove({1, 1}));
    CHECK_FALSE(queue.remove({1, 1}));
    CHECK(queue.queuedTokens() == 200);
    CHECK(queue.pop()->attempt == AttemptId{1, 2});
    CHECK_FALSE(queue.pop().has_value());
}

TEST_CASE("[Rendezvous] The loss of one place moves only the keys that it had")
{
    const std::vector<std::uint64_t> all = {11, 22, 33, 44, 55};
    const std::vector<std::uint64_t> fewer = {11, 22, 44, 55};
    for (std::uint64_t key = 0; key < 500; ++key) {
        const std::uint64_t before = all[rendezvousOrder(key, all).front()];
        const std::uint64_t after = fewer[rendezvousOrder(key, fewer).front()];
        if (before != 33) {
            REQUIRE(before == after);
        }
    }
}

TEST_CASE("[RetryBudget] Retries are a share of requests")
{
    RetryBudget budget(0.1, 2);
    CHECK(budget.takeRetry());
    CHECK(budget.takeRetry());
    CHECK_FALSE(budget.takeRetry());
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        budget.addRequest();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries <= 10);
    CHECK(retries >= 9);
}

TEST_CASE("[SuspectList] The second crash blocks a request for a time, and the list is bounded")
{
    const TimePoint start{std::chrono::hours(1)};
    SuspectList list(2, std::chrono::minutes(10), 100);
    CHECK(list.addCrash(1, 100, start) == 1);
    CHECK(list.addCrash(1, 100, start) == 1);
    CHECK(list.isSuspect(1, start));
    CHECK_FALSE(list.isBlocked(1, start));
    list.addCrash(1, 200, start + std::chrono::seconds(1));
    CHECK(list.isBlocked(1, start + std::chrono::seconds(2)));
    CHECK_FALSE(list.isBlocked(1, start + std::chrono::minutes(11)));
    for (std::uint64_t digest = 10; digest < 1000; ++digest) {
        list.addCrash(digest, 100, start + std::chrono::seconds(5));
    }
    CHECK_FALSE(list.isSuspect(10, start + std::chrono::seconds(6)));
}
