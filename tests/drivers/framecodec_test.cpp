#include "drivers/framecodec.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const std::string secret = "a secret of the fleet";
const std::string firstNonce(FrameCodec::nonceBytes, 'a');
const std::string secondNonce(FrameCodec::nonceBytes, 'b');

/** Two codecs that have greeted each other. */
struct Pair
{
    FrameCodec first{secret, firstNonce};
    FrameCodec second{secret, secondNonce};

    Pair()
    {
        first.decode(second.greeting());
        second.decode(first.greeting());
    }
};

}

TEST_CASE("[FrameCodec] Frames arrive whole and in order, however the bytes are cut")
{
    Pair pair;
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
        bytes += pair.first.encode(std::string(static_cast<std::size_t>(i * 7), static_cast<char>('a' + i)));
    }
    const std::size_t step = GENERATE(1, 3, 64, 100000);
    std::size_t count = 0;
    for (std::size_t start = 0; start < bytes.size(); start += step) {
        const std::optional<std::vector<std::string>> frames = pair.second.decode(bytes.substr(start, step));
        REQUIRE(frames.has_value());
        for (const std::string &frame : *frames) {
            CHECK(frame.size() == count * 7);
            ++count;
        }
    }
    CHECK(count == 20);
}

TEST_CASE("[FrameCodec] A frame that is changed, replayed, reflected or made without the secret is refused")
{
    Pair pair;
    const std::string frame = pair.first.encode("payload");
    SECTION("changed")
    {
        std::string changed = frame;
        changed.back() = 'X';
        CHECK_FALSE(pair.second.decode(changed).has_value());
    }
    SECTION("replayed")
    {
        CHECK(pair.second.decode(frame).has_value());
        CHECK_FALSE(pair.second.decode(frame).has_value());
    }
    SECTION("reflected")
    {
        CHECK_FALSE(pair.first.decode(frame).has_value());
    }
    SECTION("of a stranger")
    {
        FrameCodec stranger("another secret", firstNonce);
        stranger.decode(pair.second.greeting());
        CHECK_FALSE(pair.second.decode(stranger.encode("payload")).has_value());
    }
    SECTION("of a peer that sends our nonce back")
    {
        FrameCodec codec(secret, firstNonce);
        CHECK_FALSE(codec.decode(firstNonce).has_value());
    }
    SECTION("too long")
    {
        CHECK_FALSE(pair.second.decode(std::string(64, '\xff')).has_value());
    }
}
