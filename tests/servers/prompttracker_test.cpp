#include "servers/prompttracker.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

const TimePoint now{std::chrono::seconds(100)};

}

TEST_CASE("[PromptTracker] A prompt is pending until it is prefilled, its owner disconnects, or it expires")
{
    PromptTracker ledger;
    ledger.recordSent(1, 1, 3000, {}, now);
    ledger.recordSent(1, 2, 500, {}, now);
    ledger.recordSent(2, 1, 700, {}, now);
    CHECK(ledger.pendingTokens(now) == 4200);
    ledger.recordDone(1, 1, true, now);
    ledger.recordDone(1, 1, true, now);
    CHECK(ledger.pendingTokens(now) == 1200);
    ledger.dropOwner(2);
    CHECK(ledger.pendingTokens(now) == 500);
    // The message that the prompt is done was lost.
    CHECK(ledger.pendingTokens(now + std::chrono::seconds(5)) == 0);
    ledger.recordSent(1, 3, 900, {}, now);
    ledger.clear();
    CHECK(ledger.pendingTokens(now) == 0);
}

TEST_CASE("[PromptTracker] A prefix is known after its prefill, for as long as engines keep it cached")
{
    PromptTracker ledger;
    ledger.recordSent(1, 1, 3000, {7, 8}, now);
    CHECK(ledger.knownPrefixes({7, 8}, now) == 0);
    ledger.recordDone(1, 1, true, now);
    CHECK(ledger.knownPrefixes({7, 8}, now) == 2);
    CHECK(ledger.knownPrefixes({7, 9}, now) == 1);
    CHECK(ledger.knownPrefixes({9, 8}, now) == 0);
    CHECK(ledger.knownPrefixes({7, 8}, now + std::chrono::seconds(7)) == 0);
    ledger.recordSent(1, 2, 3000, {5}, now);
    ledger.recordDone(1, 2, false, now);
    CHECK(ledger.knownPrefixes({5}, now) == 0);
}
