#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[Digest] The SHA-256 digest matches the example in FIPS 180-4")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
