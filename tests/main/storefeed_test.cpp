#include "main/feeds/storefeed.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformfakes.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

const char *const storeAddress = "127.0.0.1:18921";
constexpr Duration callTimeout = std::chrono::seconds(5);

}

TEST_CASE("[StoreFeed] Changes in quick succession are batched into few polls, and none is missed")
{
    // During a weights rollout the entry of each engine changes every few seconds.
    constexpr int changeCount = 40;
    Loop loop;
    fakes::FakeStore store(loop, parseSocketAddress(storeAddress));
    DecisionLog log("test");
    HttpPool pool(loop);
    platform::StoreClient client(pool, parseSocketAddress(storeAddress), callTimeout);
    std::string lastValue;
    const StoreFeed::PollSettings pollSettings{std::chrono::seconds(4), std::chrono::milliseconds(300)};
    const auto applyRows = [&lastValue](const std::vector<platform::StoreRow> &rows) {
        for (const platform::StoreRow &row : rows) {
            lastValue = row.value;
        }
    };
    StoreFeed feed(loop, client, log, "list", pollSettings,
                   StoreFeed::Handlers{[&applyRows](const std::vector<platform::StoreRow> &rows, bool) {
                                           applyRows(rows);
                                       },
                                       applyRows, [](TimePoint) {}, [](TimePoint) {}});
    feed.start();
    int changesMade = 0;
    const TimerService::TimerId timer = loop.timers().subscribe(std::chrono::milliseconds(10), [&](TimePoint) {
        if (changesMade < changeCount) {
            ++changesMade;
            store.put("list", "entry", std::to_string(changesMade));
        }
    });
    REQUIRE(fakes::runUntil(loop, [&]() {
        return lastValue == std::to_string(changeCount);
    }));
    loop.timers().unsubscribe(timer);
    // Without the delay after changes, each change would cost a poll.
    CHECK(store.requestCount <= changeCount / 4);
}
