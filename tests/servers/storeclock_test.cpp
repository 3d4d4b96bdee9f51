#include "servers/storeclock.h"

#include <catch2/catch.hpp>

#include <random>

using namespace citronspar;

TEST_CASE("[StoreClock] An answer is never dated after its creation, and after a short exchange less than 5 ms before it")
{
    for (unsigned int seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        const Duration offset(static_cast<std::int64_t>(random()));
        StoreClock clock;
        TimePoint now{std::chrono::seconds(5000)};
        bool hadShortExchange = false;
        for (int i = 0; i < 800; ++i) {
            const Duration requestDelay(random() % 300000);
            const Duration responseDelay(random() % 300000);
            const Duration wait(i % 5 == 0 ? 0 : 1500000);
            const bool isShort = clock.needsShortExchange(now);
            if (isShort) {
                clock.recordShortExchange(now);
            }
            const TimePoint sentAt = now;
            const TimePoint createdAt = sentAt + (isShort ? Duration(2000) : requestDelay + wait);
            const TimePoint receivedAt = createdAt + (isShort ? Duration(2000) : responseDelay);
            // The store truncates its clock to milliseconds.
            const Duration storeTime = std::chrono::duration_cast<std::chrono::milliseconds>(createdAt.time_since_epoch() + offset);
            const TimePoint estimatedAt = clock.estimateAnswerTime(sentAt, receivedAt, storeTime);
            CHECK(estimatedAt <= createdAt);
            CHECK(estimatedAt >= sentAt);
            hadShortExchange = hadShortExchange || isShort;
            if (hadShortExchange) {
                CHECK(createdAt - estimatedAt < std::chrono::milliseconds(5));
            }
            now = receivedAt + Duration(random() % 50000);
        }
    }
}

TEST_CASE("[StoreClock] After a restart of the store's clock the first answer is dated to the time of its request")
{
    StoreClock clock;
    const TimePoint now{std::chrono::seconds(5000)};
    clock.estimateAnswerTime(now, now + std::chrono::milliseconds(4), std::chrono::seconds(900));
    const TimePoint sentAt = now + std::chrono::seconds(10);
    CHECK(clock.estimateAnswerTime(sentAt, sentAt + std::chrono::seconds(2), std::chrono::seconds(3)) == sentAt);
}
