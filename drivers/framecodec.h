#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Turns a byte stream into frames and back. Each side first sends a random
 * nonce. Each frame is a four-byte length, a message authentication code and
 * the payload. The code covers both nonces, the sender's count of frames and
 * the payload (HMAC-SHA-256, RFC 2104, cut to 16 bytes), so a frame can't be
 * made without the fleet's secret, replayed, dropped or moved.
 */
class FrameCodec
{
public:
    static constexpr std::size_t nonceBytes = 16;
    static constexpr std::size_t codeBytes = 16;
    static constexpr std::size_t maxFrameBytes = 16U * 1024 * 1024;

private:
    std::string m_secret;
    std::string m_ownNonce;
    std::string m_peerNonce;
    std::string m_input;
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
    std::string m_lastReason;

    std::string authenticationCode(const std::string &senderNonce, const std::string &receiverNonce, std::uint64_t count,
                                   const std::string &payload) const;

public:
    FrameCodec(std::string secret, std::string ownNonce);

    /** The first bytes to send. */
    const std::string &greeting() const;

    /** Whether the peer's nonce has arrived, so that frames can be encoded. */
    bool isReady() const;

    /** The bytes of one frame. */
    std::string encode(const std::string &payload);

    /** Takes in bytes and returns the frames that are whole; nothing when the peer broke the protocol. */
    std::optional<std::vector<std::string>> decode(const std::string &bytes);

    /** Why decode() last returned nothing. */
    const std::string &lastReason() const;
};

}
