#include "servers/admission.h"

#include <catch2/catch.hpp>

using namespace citronspar;
using std::chrono::milliseconds;

namespace
{

struct BurstResult
{
    int admitted = 0;
    Duration longest{};
};

/** A request each 30 ms for 3 s, each taking 60 ms of an engine that is read in order. */
BurstResult playBurst(Admission::Basis basis, int seenDivisor, Duration objective)
{
    BurstResult result;
    Duration backlog{};
    for (int i = 0; i < 100; ++i) {
        backlog = std::max(backlog - milliseconds(30), Duration::zero());
        if (Admission::admits(backlog / seenDivisor, basis, Duration::zero(), objective)) {
            ++result.admitted;
            backlog += milliseconds(60);
            result.longest = std::max(result.longest, backlog);
        }
    }
    return result;
}

}

TEST_CASE("[Admission] In a burst the queue of an engine stays short enough for its objective")
{
    const Duration objective = milliseconds(600);
    // Reports see half of the truth.
    const BurstResult reported = playBurst(Admission::Basis::Reported, 2, objective);
    CHECK(reported.longest <= objective + milliseconds(200));
    CHECK(reported.admitted >= 50);
    CHECK_FALSE(Admission::admits(milliseconds(10), Admission::Basis::Reported, milliseconds(590), objective));
    // A probe sees all of it but the request's own reading.
    const BurstResult probed = playBurst(Admission::Basis::Probed, 1, objective);
    CHECK(probed.longest <= objective + milliseconds(60));
    CHECK(probed.admitted >= 50);
    CHECK_FALSE(Admission::admits(milliseconds(11), Admission::Basis::Probed, milliseconds(590), objective));
}
