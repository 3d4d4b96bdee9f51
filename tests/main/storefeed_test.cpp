#include "main/feeds/storefeed.h"
#include "tests/fakes/loopwait.h"
#include "tests/fakes/platformstandin.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

const char *const storeAddress = "127.0.0.1:18921";
constexpr Duration callTimeout = std::chrono::seconds(5);

}

TEST_CASE("[StoreFeed] Changes that come in rows cost few questions, and none is missed")
{
    // Load: while new weights spread, each engine's entry changes every few seconds.
    constexpr int changes = 40;
    Loop loop;
    fakes::StoreStandIn store(loop, parseSocketAddress(storeAddress));
    DecisionLog log("test");
    HttpPool pool(loop);
    platform::StoreClient client(pool, parseSocketAddress(storeAddress), callTimeout);
    std::string lastValue;
    const StoreFeed::Pace pace{std::chrono::seconds(4), std::chrono::milliseconds(300)};
    const auto take = [&lastValue](const std::vector<platform::StoreRow> &rows) {
        for (const platform::StoreRow &row : rows) {
            lastValue = row.value;
        }
    };
    StoreFeed feed(loop, client, log, "list", pace, StoreFeed::Handlers{take, take, [](TimePoint) {}, [](TimePoint) {}});
    feed.start();
    int made = 0;
    const TimerService::TimerId timer = loop.timers().subscribe(std::chrono::milliseconds(10), [&](TimePoint) {
        if (made < changes) {
            ++made;
            store.put("list", "entry", std::to_string(made));
        }
    });
    REQUIRE(fakes::runUntil(loop, [&]() {
        return lastValue == std::to_string(changes);
    }));
    loop.timers().unsubscribe(timer);
    // Without the pause each change costs a question.
    CHECK(store.calls <= changes / 4);
}
