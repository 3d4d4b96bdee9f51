#include "servers/prompttracker.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

const TimePoint now{std::chrono::seconds(100)};

}

TEST_CASE("[PromptTracker] A prompt is pending until it is prefilled, its owner disconnects, or it expires")
{
    PromptTracker tracker;
    tracker.recordSent(1, 1, 3000, {}, now);
    tracker.recordSent(1, 2, 500, {}, now);
    tracker.recordSent(2, 1, 700, {}, now);
    CHECK(tracker.pendingTokens(now) == 4200);
    tracker.recordDone(1, 1, true, now);
    tracker.recordDone(1, 1, true, now);
    CHECK(tracker.pendingTokens(now) == 1200);
    tracker.dropOwner(2);
    CHECK(tracker.pendingTokens(now) == 500);
    // The message that ends the prefill of the prompt was lost.
    CHECK(tracker.pendingTokens(now + std::chrono::seconds(5)) == 0);
    tracker.recordSent(1, 3, 900, {}, now);
    tracker.clear();
    CHECK(tracker.pendingTokens(now) == 0);
}

TEST_CASE("[PromptTracker] A prefix is known after its prefill, for as long as engines keep it cached")
{
    PromptTracker tracker;
    tracker.recordSent(1, 1, 3000, {7, 8}, now);
    CHECK(tracker.knownPrefixes({7, 8}, now) == 0);
    tracker.recordDone(1, 1, true, now);
    CHECK(tracker.knownPrefixes({7, 8}, now) == 2);
    CHECK(tracker.knownPrefixes({7, 9}, now) == 1);
    CHECK(tracker.knownPrefixes({9, 8}, now) == 0);
    CHECK(tracker.knownPrefixes({7, 8}, now + std::chrono::seconds(7)) == 0);
    tracker.recordSent(1, 2, 3000, {5}, now);
    tracker.recordDone(1, 2, false, now);
    CHECK(tracker.knownPrefixes({5}, now) == 0);
}
