#include "core/hybridclock.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[HybridClock] The receipt of a message is later than its sending even if the wall clock of the receiver is behind")
{
    HybridClock sender;
    HybridClock receiver;
    const HybridTime sent = sender.tick(std::chrono::seconds(100));
    receiver.observe(sent);
    const HybridTime received = receiver.tick(std::chrono::seconds(50));
    CHECK(sent < received);
    CHECK(received < receiver.tick(std::chrono::seconds(50)));
}
