#include "servers/rendezvous.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace citronspar;

TEST_CASE("[Rendezvous] Removing one id moves only the keys assigned to it")
{
    const std::vector<std::uint64_t> all = {11, 22, 33, 44, 55};
    const std::vector<std::uint64_t> fewer = {11, 22, 44, 55};
    for (std::uint64_t key = 0; key < 500; ++key) {
        const std::uint64_t before = all[rendezvousOrder(key, all).front()];
        const std::uint64_t after = fewer[rendezvousOrder(key, fewer).front()];
        if (before != 33) {
            REQUIRE(before == after);
        }
    }
}
