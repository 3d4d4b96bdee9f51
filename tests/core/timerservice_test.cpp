#include "core/timerservice.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace citronspar;

TEST_CASE("[TimerService] Callbacks run in order of due time, repeat, and can cancel their own subscription")
{
    TimePoint now{std::chrono::hours(1)};
    TimerService timers([&now]() {
        return now;
    });
    std::vector<int> calls;
    timers.subscribeOnce(std::chrono::seconds(2), [&calls](TimePoint) {
        calls.push_back(2);
    });
    TimerService::TimerId repeating = 0;
    repeating = timers.subscribe(std::chrono::seconds(1), [&](TimePoint) {
        calls.push_back(1);
        if (calls.size() == 3) {
            timers.unsubscribe(repeating);
        }
    });
    CHECK(timers.nextDue() == now + std::chrono::seconds(1));
    for (int second = 0; second < 5; ++second) {
        now += std::chrono::seconds(1);
        timers.run();
    }
    CHECK(calls == std::vector<int>{1, 2, 1});
    CHECK_FALSE(timers.nextDue().has_value());
}
