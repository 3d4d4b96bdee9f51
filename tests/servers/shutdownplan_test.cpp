#include "servers/shutdownplan.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[ShutdownPlan] Requests are served until the load balancer has detected the shutdown, and refused before the process exits")
{
    ShutdownPlan plan{ShutdownPlan::Settings()};
    const TimePoint start{std::chrono::seconds(50)};
    CHECK(plan.servesNewRequests(start));
    CHECK_FALSE(plan.mayExit(start, 0));
    plan.start(start);
    // The load balancer needs two failed probes, one second apart, and each probe may take some time.
    CHECK(plan.servesNewRequests(start + std::chrono::milliseconds(2200)));
    CHECK_FALSE(plan.mayExit(start + std::chrono::milliseconds(2200), 0));
    // The exit of the process could interrupt a stream of two seconds that begins later.
    CHECK_FALSE(plan.servesNewRequests(start + std::chrono::seconds(5)));
    CHECK(plan.closesIdleConnections(start + std::chrono::seconds(5)));
    CHECK_FALSE(plan.mayExit(start + std::chrono::seconds(5), 1));
    CHECK(plan.mayExit(start + std::chrono::seconds(5), 0));
    CHECK(plan.mayExit(start + std::chrono::milliseconds(7900), 3));
}

TEST_CASE("[ShutdownPlan] The process exits before it would be killed, though it notices the signal late and its exit takes time")
{
    // A signal is noticed, and the permission to exit is checked, up to 200 ms late; an exit on a slow VM takes 200 ms.
    constexpr Duration delay = std::chrono::milliseconds(200);
    ShutdownPlan::Settings settings;
    ShutdownPlan plan{settings};
    const TimePoint signalled{std::chrono::seconds(50)};
    plan.start(signalled + delay);
    CHECK(plan.mayExit(signalled + settings.grace - 2 * delay, 1));
    // A request that was accepted before the signal has most of the grace period to complete.
    CHECK_FALSE(plan.mayExit(signalled + settings.grace * 5 / 6, 1));
}

TEST_CASE("[ShutdownPlan] Whatever the grace, requests are served, sent and answered in time before the exit")
{
    constexpr Duration step = std::chrono::milliseconds(10);
    for (Duration grace = std::chrono::seconds(1); grace <= std::chrono::seconds(30); grace += std::chrono::milliseconds(500)) {
        ShutdownPlan::Settings settings;
        settings.grace = grace;
        ShutdownPlan plan{settings};
        const TimePoint start{std::chrono::seconds(50)};
        plan.start(start);
        Duration served{};
        Duration sent{};
        Duration exit{};
        for (Duration elapsed{}; elapsed <= grace; elapsed += step) {
            served = plan.servesNewRequests(start + elapsed) ? elapsed : served;
            sent = plan.mayStartAttempt(start + elapsed) ? elapsed : sent;
            exit = plan.mayExit(start + elapsed, 1) ? exit : elapsed;
        }
        CAPTURE(toSeconds(grace));
        // A request that was accepted has at least as much time as had passed before it.
        CHECK(plan.answerTime() >= 2 * served);
        CHECK(sent >= served);
        CHECK(sent < plan.answerTime());
        CHECK(plan.answerTime() < exit);
        CHECK(exit + std::chrono::milliseconds(400) <= grace);
        if (grace >= std::chrono::seconds(8)) {
            CHECK(served >= std::chrono::milliseconds(2200));
            CHECK(plan.answerTime() >= grace * 5 / 6);
            CHECK(plan.answerTime() - sent >= std::chrono::milliseconds(900));
        }
    }
}
