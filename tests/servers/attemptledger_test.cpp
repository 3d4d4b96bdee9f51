#include "servers/attemptledger.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[AttemptLedger] Work that may run once is not repeated unless it surely did not run")
{
    AttemptLedger ledger(RepeatRule::AtMostOnce, 3);
    CHECK(ledger.isSurelyNotRun());
    ledger.noteSent();
    CHECK_FALSE(ledger.isSurelyNotRun());
    CHECK_FALSE(ledger.mayTryAgain());
    ledger.noteNotRun();
    CHECK(ledger.isSurelyNotRun());
    CHECK(ledger.mayTryAgain());
}

TEST_CASE("[AttemptLedger] Idempotent work runs on as many endpoints as its route allows")
{
    AttemptLedger ledger(RepeatRule::Idempotent, 2);
    ledger.noteSent();
    CHECK(ledger.mayTryAgain());
    ledger.noteSent();
    CHECK_FALSE(ledger.mayTryAgain());
    CHECK_FALSE(ledger.isSurelyNotRun());
}

TEST_CASE("[AttemptLedger] Refusals end at some time")
{
    AttemptLedger ledger(RepeatRule::AtMostOnce, 1);
    int tries = 0;
    while (ledger.mayTryAgain()) {
        ledger.noteSent();
        ledger.noteNotRun();
        ++tries;
    }
    CHECK(tries == AttemptLedger::maxTries);
    CHECK(ledger.isSurelyNotRun());
}
