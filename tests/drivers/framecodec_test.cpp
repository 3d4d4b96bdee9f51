#include "drivers/framecodec.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const std::string secret = "fleet secret";
const std::string firstNonce(FrameCodec::nonceBytes, 'a');
const std::string secondNonce(FrameCodec::nonceBytes, 'b');

/** Two codecs that have exchanged nonces. */
struct ConnectedCodecs
{
    FrameCodec first{secret, firstNonce};
    FrameCodec second{secret, secondNonce};

    ConnectedCodecs()
    {
        first.decode(second.handshake());
        second.decode(first.handshake());
    }
};

}

TEST_CASE("[FrameCodec] Frames are decoded in order for any chunk size")
{
    ConnectedCodecs codecs;
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
        bytes += codecs.first.encode(std::string(static_cast<std::size_t>(i * 7), static_cast<char>('a' + i)));
    }
    const std::size_t chunkSize = GENERATE(1, 3, 64, 100000);
    std::size_t count = 0;
    for (std::size_t start = 0; start < bytes.size(); start += chunkSize) {
        const std::optional<std::vector<std::string>> frames = codecs.second.decode(bytes.substr(start, chunkSize));
        REQUIRE(frames.has_value());
        for (const std::string &frame : *frames) {
            CHECK(frame.size() == count * 7);
            ++count;
        }
    }
    CHECK(count == 20);
}

TEST_CASE("[FrameCodec] Changed, replayed, reflected, forged and oversized frames are rejected")
{
    ConnectedCodecs codecs;
    const std::string frame = codecs.first.encode("payload");
    SECTION("changed")
    {
        std::string changed = frame;
        changed.back() = 'X';
        CHECK_FALSE(codecs.second.decode(changed).has_value());
    }
    SECTION("replayed")
    {
        CHECK(codecs.second.decode(frame).has_value());
        CHECK_FALSE(codecs.second.decode(frame).has_value());
    }
    SECTION("reflected")
    {
        CHECK_FALSE(codecs.first.decode(frame).has_value());
    }
    SECTION("encoded with another secret")
    {
        FrameCodec forger("another secret", firstNonce);
        forger.decode(codecs.second.handshake());
        CHECK_FALSE(codecs.second.decode(forger.encode("payload")).has_value());
    }
    SECTION("from a peer that sends our own nonce")
    {
        FrameCodec codec(secret, firstNonce);
        CHECK_FALSE(codec.decode(firstNonce).has_value());
    }
    SECTION("oversized")
    {
        CHECK_FALSE(codecs.second.decode(std::string(64, '\xff')).has_value());
    }
}
