#include "servers/admission.h"

#include <catch2/catch.hpp>

using namespace citronspar;
using std::chrono::milliseconds;

namespace
{

struct BurstResult
{
    int admitted = 0;
    Duration maxBacklog{};
};

/** Simulates a request every 30 ms for 3 s, each of which takes 60 ms on an engine that processes them in order. */
BurstResult simulateBurst(Admission::Basis basis, int underestimateFactor, Duration objective)
{
    BurstResult result;
    Duration backlog{};
    for (int i = 0; i < 100; ++i) {
        backlog = std::max(backlog - milliseconds(30), Duration::zero());
        if (Admission::admits(backlog / underestimateFactor, basis, Duration::zero(), objective)) {
            ++result.admitted;
            backlog += milliseconds(60);
            result.maxBacklog = std::max(result.maxBacklog, backlog);
        }
    }
    return result;
}

}

TEST_CASE("[Admission] The queue of an engine stays within its latency objective during a burst")
{
    const Duration objective = milliseconds(600);
    // Reports underestimate the backlog by half.
    const BurstResult reported = simulateBurst(Admission::Basis::Reported, 2, objective);
    CHECK(reported.maxBacklog <= objective + milliseconds(200));
    CHECK(reported.admitted >= 50);
    CHECK_FALSE(Admission::admits(milliseconds(10), Admission::Basis::Reported, milliseconds(590), objective));
    // A probe covers the whole backlog except the request's own prefill.
    const BurstResult probed = simulateBurst(Admission::Basis::Probed, 1, objective);
    CHECK(probed.maxBacklog <= objective + milliseconds(60));
    CHECK(probed.admitted >= 50);
    CHECK_FALSE(Admission::admits(milliseconds(11), Admission::Basis::Probed, milliseconds(590), objective));
}
