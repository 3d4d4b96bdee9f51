#include "core/attemptid.h"
#include "core/base64.h"
#include "core/digest.h"
#include "core/errorkind.h"
#include "core/hybridclock.h"
#include "core/metrics.h"
#include "core/timeline.h"
#include "core/timerservice.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace citronspar;

TEST_CASE("[ErrorKind] Each kind is the index of its row and is found by its name")
{
    for (int value = 0; value <= static_cast<int>(ErrorKind::VersionConflict); ++value) {
        const ErrorKind kind = static_cast<ErrorKind>(value);
        CHECK(errorAnswer(kind).kind == kind);
        CHECK(errorKindFromName(errorAnswer(kind).name) == kind);
    }
    CHECK_FALSE(errorKindFromName("no such kind").has_value());
}

TEST_CASE("[AttemptId] The text form is read back, and nothing else is")
{
    const AttemptId id{123456789012345678, 42};
    CHECK(AttemptId::fromString(id.toString()) == id);
    for (const char *text : {"", "1", "1-", "-1", "1-2x", "x-2", "1-2-3"}) {
        CHECK_FALSE(AttemptId::fromString(text).has_value());
    }
}

TEST_CASE("[Base64] Any bytes are read back")
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
        bytes += static_cast<char>(i);
    }
}

TEST_CASE("[Digest] The digest is that of the standard's example")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("[TimerService] Timers run in order, repeat, and can end themselves")
{
    TimePoint now{std::chrono::hours(1)};
    TimerService timers([&now]() {
        return now;
    });
    std::vector<int> calls;
    timers.subscribeOnce(std::chrono::seconds(2), [&calls](TimePoint) {
        calls.push_back(2);
    });
    TimerService::TimerId repeating = 0;
    repeating = timers.subscribe(std::chrono::seconds(1), [&](TimePoint) {
        calls.push_back(1);
        if (calls.size() == 3) {
            timers.unsubscribe(repeating);
        }
    });
    CHECK(timers.nextDue() == now + std::chrono::seconds(1));
    for (int second = 0; second < 5; ++second) {
        now += std::chrono::seconds(1);
        timers.run();
    }
    CHECK(calls == std::vector<int>{1, 2, 1});
    CHECK_FALSE(timers.nextDue().has_value());
}

TEST_CASE("[HybridClock] A receipt is later than its sending, also when the wall clock is behind")
{
    HybridClock sender;
    HybridClock receiver;
    const HybridTime sent = sender.tick(std::chrono::seconds(100));
    receiver.observe(sent);
    const HybridTime received = receiver.tick(std::chrono::seconds(50));
    CHECK(sent < received);
    CHECK(received < receiver.tick(std::chrono::seconds(50)));
}

TEST_CASE("[Timeline] The ring keeps the newest events")
{
    Timeline timeline(3);
    for (int i = 0; i < 5; ++i) {
        timeline.add(TimelineEvent{{}, "d", "p", std::to_string(i), "", ""});
    }
    REQUIRE(timeline.events().size() == 3);
    CHECK(timeline.events().front().what == "2");
}

TEST_CASE("[Metrics] Series give the quantiles of their samples")
{
    Metrics metrics;
    for (int i = 1; i <= 1000; ++i) {
        metrics.sample("x", static_cast<double>(i));
    }
    const SeriesSummary summary = metrics.summaries().at("x");
    CHECK(summary.count == 1000);
    CHECK(summary.mean == Approx(500.5));
    CHECK(summary.p95 == Approx(950).epsilon(0.02));
}
