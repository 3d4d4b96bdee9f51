#include "servers/retryadvice.h"

#include "core/hash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace citronspar;

TEST_CASE("[RetryAdvice] In a burst, the refused callers return after the backlog, spread, and within a third of their time")
{
    // A burst of five times the rate: 500 requests are refused for a backlog of 1.2 s, then of 200 ms.
    constexpr Duration remaining = std::chrono::seconds(6);
    const Duration backlog = std::chrono::milliseconds(GENERATE(1200, 200));
    std::vector<Duration> returns;
    for (std::uint64_t i = 0; i < 500; ++i) {
        returns.push_back(RetryAdvice::retryAfter(backlog, remaining, hashBytes(std::to_string(i), 1)));
    }
    std::sort(returns.begin(), returns.end());
    CHECK(returns.front() >= backlog);
    CHECK(returns.back() <= remaining / 3);
    // No tenth of the spread gets more than a fifth of the callers.
    const Duration step = (returns.back() - returns.front()) / 10;
    for (Duration from = returns.front(); from < returns.back(); from += step) {
        const auto inStep = std::count_if(returns.begin(), returns.end(), [&](Duration time) {
            return time >= from && time < from + step;
        });
        CHECK(inStep <= 100);
    }
}

TEST_CASE("[RetryAdvice] A caller is never told to return later than it would, or in the past")
{
    CHECK(RetryAdvice::retryAfter(std::chrono::seconds(10), std::chrono::milliseconds(600), 7) == std::chrono::milliseconds(200));
    CHECK(RetryAdvice::retryAfter(std::chrono::seconds(10), std::chrono::milliseconds(-5), 7) == Duration::zero());
    CHECK(RetryAdvice::retryAfter(Duration::zero(), std::chrono::seconds(9), 0) >= std::chrono::milliseconds(100));
}
