#include "servers/fairqueue.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace citronspar;

TEST_CASE("[FairQueue] A burst of requests from one account does not delay another account")
{
    FairQueue queue;
    for (std::int64_t i = 0; i < 100; ++i) {
        queue.push(FairQueue::Item{{1, i}, "heavy", 1000});
    }
    queue.push(FairQueue::Item{{2, 1}, "small", 1000});
    CHECK(queue.tokensAhead("other") <= 2000);
    CHECK(queue.pop()->account == "heavy");
    CHECK(queue.pop()->account == "small");
}

TEST_CASE("[FairQueue] Two backlogged accounts get equal shares of the tokens regardless of request size")
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

TEST_CASE("[FairQueue] A removed item is not popped and its tokens are not counted")
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
