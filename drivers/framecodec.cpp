#include "drivers/framecodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

namespace citronspar
{

namespace
{

constexpr std::size_t lengthBytes = 4;

std::string encodeBigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i) {
        text[bytes - 1 - i] = static_cast<char>(value >> (8 * i));
    }
    return text;
}

std::size_t decodeLength(const std::string &bytes)
{
    std::size_t value = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return value;
}

}

FrameCodec::FrameCodec(std::string secret, std::string ownNonce)
    : m_secret(std::move(secret))
    , m_ownNonce(std::move(ownNonce))
{
}

const std::string &FrameCodec::handshake() const
{
    return m_ownNonce;
}

bool FrameCodec::isReady() const
{
    return !m_peerNonce.empty();
}

std::string FrameCodec::computeMac(const std::string &senderNonce, const std::string &receiverNonce, std::uint64_t count,
                                   const std::string &payload) const
{
    const std::string text = senderNonce + receiverNonce + encodeBigEndian(count, sizeof(count)) + payload;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), reinterpret_cast<const unsigned char *>(text.data()),
         text.size(), digest.data(), &length);
    return std::string(reinterpret_cast<const char *>(digest.data()), macBytes);
}

std::string FrameCodec::encode(const std::string &payload)
{
    const std::string mac = computeMac(m_ownNonce, m_peerNonce, m_sentFrames, payload);
    ++m_sentFrames;
    return encodeBigEndian(payload.size(), lengthBytes) + mac + payload;
}

std::optional<std::vector<std::string>> FrameCodec::decode(const std::string &bytes)
{
    m_input += bytes;
    if (!isReady()) {
        if (m_input.size() < nonceBytes) {
            return std::vector<std::string>();
        }
        m_peerNonce = m_input.substr(0, nonceBytes);
        m_input.erase(0, nonceBytes);
        // With equal nonces the peer could reflect our frames back to us.
        if (m_peerNonce == m_ownNonce) {
            m_lastError = "peer sent our own nonce";
            return std::nullopt;
        }
    }
    std::vector<std::string> frames;
    std::size_t position = 0;
    while (m_input.size() - position >= lengthBytes + macBytes) {
        const std::size_t size = decodeLength(m_input.substr(position, lengthBytes));
        if (size > maxFrameBytes) {
            m_lastError = "frame exceeds the size limit";
            return std::nullopt;
        }
        if (m_input.size() - position < lengthBytes + macBytes + size) {
            break;
        }
        std::string payload = m_input.substr(position + lengthBytes + macBytes, size);
        const std::string expected = computeMac(m_peerNonce, m_ownNonce, m_receivedFrames, payload);
        if (CRYPTO_memcmp(expected.data(), m_input.data() + position + lengthBytes, macBytes) != 0) {
            m_lastError = "frame authentication failed; the peer may have another fleet secret";
            return std::nullopt;
        }
        ++m_receivedFrames;
        position += lengthBytes + macBytes + size;
        frames.push_back(std::move(payload));
    }
    m_input.erase(0, position);
    return frames;
}

bool FrameCodec::isAuthenticated() const
{
    return m_receivedFrames > 0;
}

std::size_t FrameCodec::bufferedBytes() const
{
    return m_input.size();
}

const std::string &FrameCodec::lastError() const
{
    return m_lastError;
}

}
