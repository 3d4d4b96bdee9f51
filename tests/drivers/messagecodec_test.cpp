#include "drivers/messagecodec.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace citronspar;

TEST_CASE("[MessageCodec] Envelopes round-trip; truncated bytes are rejected and corrupted bytes do not crash")
{
    wire::Envelope envelope;
    envelope.__set_sender("entry-1");
    wire::Probe probe;
    probe.__set_blocks({1, -2, 3});
    wire::Body body;
    body.__set_probe(probe);
    envelope.__set_body(body);
    const std::string bytes = encodeEnvelope(envelope);
    CHECK(decodeEnvelope(bytes)->body.probe.blocks == probe.blocks);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeEnvelope(bytes.substr(0, size)).has_value());
    }
    std::mt19937_64 random(7);
    for (int i = 0; i < 20000; ++i) {
        std::string corrupted = bytes;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        decodeEnvelope(corrupted);
    }
}
