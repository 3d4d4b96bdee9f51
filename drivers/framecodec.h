#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Encodes and decodes authenticated frames on a byte stream. Each side first
 * sends a random nonce. A frame is a four-byte length, a message authentication
 * code (MAC) and the payload. The MAC is HMAC-SHA-256 (RFC 2104), truncated to
 * 16 bytes, over both nonces, the sender's frame counter and the payload, so
 * that frames can't be forged without the fleet secret, replayed, dropped or
 * reordered.
 */
class FrameCodec
{
public:
    static constexpr std::size_t nonceBytes = 16;
    static constexpr std::size_t macBytes = 16;
    static constexpr std::size_t maxFrameBytes = 16U * 1024 * 1024;

private:
    std::string m_secret;
    std::string m_ownNonce;
    std::string m_peerNonce;
    std::string m_input;
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
    std::string m_lastError;

    std::string computeMac(const std::string &senderNonce, const std::string &receiverNonce, std::uint64_t count,
                           const std::string &payload) const;

public:
    FrameCodec(std::string secret, std::string ownNonce);

    /** The bytes to send before any frame: the nonce of this side. */
    const std::string &handshake() const;

    /** Whether the peer's nonce has been received, which encode() needs. */
    bool isReady() const;

    std::string encode(const std::string &payload);

    /** Adds received bytes and returns the payloads of complete frames; nullopt if the peer violated the protocol. */
    std::optional<std::vector<std::string>> decode(const std::string &bytes);

    /** Whether a frame has been received, which only a peer with the secret can send. */
    bool isAuthenticated() const;

    /** Bytes of an incomplete frame. */
    std::size_t bufferedBytes() const;

    /** The error of the last decode() call that returned nullopt. */
    const std::string &lastError() const;
};

}
