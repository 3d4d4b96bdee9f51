#include "servers/intake/intakebounds.h"

#include "servers/intake/intakebudget.h"

#include <catch2/catch.hpp>

using namespace citronspar;

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;

}

TEST_CASE("[IntakeBounds] The setting comes before the memory of the VM, and that before the default")
{
    CHECK(IntakeBounds::derive(88, 12, 0, mebibyte).maxHeldBytes == 12 * mebibyte);
    CHECK(IntakeBounds::derive(88, 0, 0, mebibyte).maxHeldBytes == 22 * mebibyte);
    CHECK(IntakeBounds::derive(0, 0, 0, mebibyte).maxHeldBytes == IntakeBudget::defaultMaxBytes);
}

TEST_CASE("[IntakeBounds] A bound below the largest permitted request does not keep that request out")
{
    CHECK(IntakeBounds::derive(0, 1, 0, 4 * mebibyte).maxHeldBytes == 8 * mebibyte);
}

TEST_CASE("[IntakeBounds] Connections of clients leave descriptors for endpoints, peers and the other ports")
{
    CHECK(IntakeBounds::derive(0, 0, 128, mebibyte).maxConnections == 55);
    CHECK(IntakeBounds::derive(0, 0, 10250, mebibyte).maxConnections == 6380);
    CHECK(IntakeBounds::derive(0, 0, 1, mebibyte).maxConnections > 0);
}

TEST_CASE("[IntakeBounds] Responses get half of what requests get, and two of the largest events at least")
{
    CHECK(IntakeBounds::derive(88, 0, 0, mebibyte).maxResponseBytes == 11 * mebibyte);
    CHECK(IntakeBounds::derive(88, 12, 0, mebibyte).maxResponseBytes == 6 * mebibyte);
    CHECK(IntakeBounds::derive(0, 1, 0, mebibyte).maxResponseBytes == 2 * mebibyte);
    CHECK(IntakeBounds::derive(0, 0, 0, mebibyte).maxResponseBytes == IntakeBudget::defaultMaxBytes / 2);
}
