#include "core/base64.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[Base64] Arbitrary bytes round-trip through encoding and decoding")
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
        bytes += static_cast<char>(i);
    }
}
