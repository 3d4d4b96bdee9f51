#include "servers/attemptledger.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[AttemptLedger] At-most-once work is retried only if it is certain that it did not run")
{
    AttemptLedger tracker(RepeatRule::AtMostOnce, 3);
    CHECK(tracker.isSurelyNotRun());
    tracker.noteSent();
    CHECK_FALSE(tracker.isSurelyNotRun());
    CHECK_FALSE(tracker.mayTryAgain());
    tracker.noteNotRun();
    CHECK(tracker.isSurelyNotRun());
    CHECK(tracker.mayTryAgain());
}

TEST_CASE("[AttemptLedger] Idempotent work is retried up to the maximum number of attempts of its route")
{
    AttemptLedger tracker(RepeatRule::Idempotent, 2);
    tracker.noteSent();
    CHECK(tracker.mayTryAgain());
    tracker.noteSent();
    CHECK_FALSE(tracker.mayTryAgain());
    CHECK_FALSE(tracker.isSurelyNotRun());
}

TEST_CASE("[AttemptLedger] The number of tries is bounded if every endpoint refuses")
{
    AttemptLedger tracker(RepeatRule::AtMostOnce, 1);
    int tries = 0;
    while (tracker.mayTryAgain()) {
        tracker.noteSent();
        tracker.noteNotRun();
        ++tries;
    }
    CHECK(tries == AttemptLedger::maxTries);
    CHECK(tracker.isSurelyNotRun());
}
