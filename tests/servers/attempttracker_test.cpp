#include "servers/attempttracker.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[AttemptTracker] At-most-once work is retried only if it is certain that it did not run")
{
    AttemptTracker tracker(RetryPolicy::AtMostOnce, 3);
    CHECK(tracker.isCertainlyNotRun());
    tracker.recordSent();
    CHECK_FALSE(tracker.isCertainlyNotRun());
    CHECK_FALSE(tracker.canRetry());
    tracker.recordNotRun();
    CHECK(tracker.isCertainlyNotRun());
    CHECK(tracker.canRetry());
}

TEST_CASE("[AttemptTracker] Idempotent work is retried up to the maximum number of attempts of its route")
{
    AttemptTracker tracker(RetryPolicy::Idempotent, 2);
    tracker.recordSent();
    CHECK(tracker.canRetry());
    tracker.recordSent();
    CHECK_FALSE(tracker.canRetry());
    CHECK_FALSE(tracker.isCertainlyNotRun());
}

TEST_CASE("[AttemptTracker] The number of attempts is bounded if every endpoint refuses")
{
    AttemptTracker tracker(RetryPolicy::AtMostOnce, 1);
    int attempts = 0;
    while (tracker.canRetry()) {
        tracker.recordSent();
        tracker.recordNotRun();
        ++attempts;
    }
    CHECK(attempts == AttemptTracker::maxAttemptsPerRequest);
    CHECK(tracker.isCertainlyNotRun());
}
