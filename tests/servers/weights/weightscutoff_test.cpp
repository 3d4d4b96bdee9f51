#include "servers/weights/weightscutoff.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace citronspar;

namespace
{

const TimePoint setAt{std::chrono::seconds(100)};
constexpr Duration limit = std::chrono::seconds(8);

/** Whether a request may be sent at @p now if its first token is predicted after @p predicted. */
using Rule = std::function<bool(Duration predicted, TimePoint now)>;

/**
 * Plays requests over 10 s that queue at an engine with old weights. The queue takes up to three times as long as
 * predicted, as several entry daemons send to it between two reports. Returns the number that begin after the deadline.
 */
int countLateStarts(const Rule &admits, TimePoint abandonAt)
{
    std::mt19937_64 random(11);
    int late = 0;
    for (int i = 0; i < 5000; ++i) {
        const TimePoint sentAt = setAt + std::chrono::milliseconds(static_cast<std::int64_t>(random() % 10000));
        const Duration predicted = std::chrono::milliseconds(static_cast<std::int64_t>(random() % 1000));
        const TimePoint beginsAt = sentAt + predicted * static_cast<int>(1 + random() % 3);
        if (admits(predicted, sentAt) && beginsAt < abandonAt) {
            late += beginsAt >= setAt + limit ? 1 : 0;
        }
    }
    return late;
}

}

TEST_CASE("[WeightsCutoff] No request begins on old weights after the deadline, however long it waits in the engine's queue")
{
    const WeightsCutoff cutoff(WeightsVersion{2, setAt, setAt}, limit);
    const Rule admits = [&](Duration predicted, TimePoint now) {
        return cutoff.admits(predicted, now);
    };
    CHECK(countLateStarts(admits, cutoff.abandonAt()) == 0);
    // Without giving up, the margins alone have to suffice for queues of up to three times the prediction.
    CHECK(countLateStarts(admits, TimePoint::max()) == 0);
    // A fixed margin without the prediction, as it was used before, lets requests begin late.
    const Rule fixedMargin = [](Duration, TimePoint now) {
        return now - setAt <= limit - std::chrono::milliseconds(500);
    };
    CHECK(countLateStarts(fixedMargin, TimePoint::max()) > 0);
}

TEST_CASE("[WeightsCutoff] Old weights are used while new ones load")
{
    const WeightsCutoff cutoff(WeightsVersion{2, setAt, setAt}, limit);
    CHECK(cutoff.admits(std::chrono::milliseconds(300), setAt + std::chrono::seconds(4)));
    CHECK_FALSE(cutoff.admits(std::chrono::milliseconds(300), setAt + std::chrono::seconds(7)));
    CHECK(cutoff.abandonAt() < setAt + limit);
}

TEST_CASE("[WeightsCutoff] A version counts from the last time at which the store is known not to have had it")
{
    // The daemon was cut from the store for 6 s.
    const TimePoint receivedAt = setAt + std::chrono::seconds(6);
    CHECK_FALSE(WeightsCutoff(WeightsVersion{2, setAt - std::chrono::seconds(60), setAt}, limit)
                    .admits(std::chrono::milliseconds(300), receivedAt));
    // A daemon that has just started can't know the age of the version, and must not count a whole rollout from its start.
    const TimePoint startedAt = receivedAt;
    const WeightsCutoff afterStart(WeightsVersion{2, startedAt, timeNever}, limit);
    CHECK(afterStart.admits(std::chrono::milliseconds(300), startedAt + std::chrono::milliseconds(1500)));
    CHECK_FALSE(afterStart.admits(std::chrono::milliseconds(300), startedAt + std::chrono::seconds(4)));
}
