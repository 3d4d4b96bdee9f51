#include "drivers/loop.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[SocketAddress] Without a valid port, the parsed port is 0")
{
    CHECK(parseSocketAddress("127.0.0.1:80").port == 80);
    CHECK(parseSocketAddress("127.0.0.1").port == 0);
    CHECK(parseSocketAddress("127.0.0.1:x").port == 0);
    CHECK(parseSocketAddress("127.0.0.1:80x").port == 0);
}
