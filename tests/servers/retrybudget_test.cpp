#include "servers/retrybudget.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[RetryBudget] The number of retries is a share of the number of requests")
{
    RetryBudget budget(0.1, 2);
    CHECK(budget.tryConsumeRetry());
    CHECK(budget.tryConsumeRetry());
    CHECK_FALSE(budget.tryConsumeRetry());
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        budget.addRequest();
        retries += budget.tryConsumeRetry() ? 1 : 0;
    }
    CHECK(retries <= 10);
    CHECK(retries >= 9);
}

TEST_CASE("[RetryBudget] Daemons that divide a retry budget do not exceed it together")
{
    constexpr double totalRetries = 56;
    for (const int daemons : {1, 5, 29, 340}) {
        int retries = 0;
        for (int i = 0; i < daemons; ++i) {
            RetryBudget budget(0, totalRetries / 8);
            budget.setMaximum(totalRetries / daemons);
            while (budget.tryConsumeRetry()) {
                ++retries;
            }
        }
        CHECK(retries <= totalRetries);
    }
}
