#include "servers/admission.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[Admission] In a burst the queue of an engine stays short enough for its objective")
{
    using std::chrono::milliseconds;
    // Load: a request each 30 ms for 3 s, each taking 60 ms of an engine that is read in order.
    const Duration objective = milliseconds(600);
    Duration backlog{};
    int admitted = 0;
    int late = 0;
    for (int i = 0; i < 100; ++i) {
        backlog = std::max(backlog - milliseconds(30), Duration::zero());
        // The prediction sees half of the truth.
        if (Admission::admits(backlog / 2, Duration::zero(), objective)) {
            ++admitted;
            backlog += milliseconds(60);
            late += backlog > objective + milliseconds(200) ? 1 : 0;
        }
    }
    CHECK(late == 0);
    CHECK(admitted >= 50);
    CHECK_FALSE(Admission::admits(milliseconds(10), milliseconds(590), objective));
}
