#include "servers/storeclock.h"

#include <catch2/catch.hpp>

#include <random>

using namespace citronspar;

TEST_CASE("[StoreClock] An answer is never dated later than it was made, and after a short exchange hardly earlier")
{
    for (unsigned int seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        const Duration offset(static_cast<std::int64_t>(random()));
        StoreClock clock;
        TimePoint now{std::chrono::seconds(5000)};
        bool hadShort = false;
        for (int i = 0; i < 800; ++i) {
            const Duration there(random() % 300000);
            const Duration back(random() % 300000);
            const Duration wait(i % 5 == 0 ? 0 : 1500000);
            const bool isShort = clock.needsShortExchange(now);
            if (isShort) {
                clock.noteShortExchange(now);
            }
            const TimePoint asked = now;
            const TimePoint made = asked + (isShort ? Duration(2000) : there + wait);
            const TimePoint received = made + (isShort ? Duration(2000) : back);
            // The store's clock counts milliseconds.
            const Duration storeTime = std::chrono::duration_cast<std::chrono::milliseconds>(made.time_since_epoch() + offset);
            const TimePoint dated = clock.answeredAt(asked, received, storeTime);
            CHECK(dated <= made);
            CHECK(dated >= asked);
            hadShort = hadShort || isShort;
            if (hadShort) {
                CHECK(made - dated < std::chrono::milliseconds(5));
            }
            now = received + Duration(random() % 50000);
        }
    }
}

TEST_CASE("[StoreClock] A store whose clock began anew proves no more than the question's time at first")
{
    StoreClock clock;
    const TimePoint now{std::chrono::seconds(5000)};
    clock.answeredAt(now, now + std::chrono::milliseconds(4), std::chrono::seconds(900));
    const TimePoint asked = now + std::chrono::seconds(10);
    CHECK(clock.answeredAt(asked, asked + std::chrono::seconds(2), std::chrono::seconds(3)) == asked);
}
