#include "servers/shutdownplan.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[ShutdownPlan] Requests are served until the balancer has noticed, then turned away in time")
{
    ShutdownPlan plan{ShutdownPlan::Settings()};
    const TimePoint start{std::chrono::seconds(50)};
    CHECK(plan.servesNewRequests(start));
    CHECK_FALSE(plan.mayLeave(start, 0));
    plan.start(start);
    // Two questions a second apart are missed, and each may take a moment.
    CHECK(plan.servesNewRequests(start + std::chrono::milliseconds(2200)));
    CHECK_FALSE(plan.mayLeave(start + std::chrono::milliseconds(2200), 0));
    // A stream of two seconds that begins later could be cut by the end of the process.
    CHECK_FALSE(plan.servesNewRequests(start + std::chrono::seconds(5)));
    CHECK(plan.closesIdleConnections(start + std::chrono::seconds(5)));
    CHECK_FALSE(plan.mayLeave(start + std::chrono::seconds(5), 1));
    CHECK(plan.mayLeave(start + std::chrono::seconds(5), 0));
    CHECK(plan.mayLeave(start + std::chrono::milliseconds(7900), 3));
}
