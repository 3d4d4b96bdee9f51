#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace citronspar
{

/**
 * Bounds the bytes that a daemon holds of responses of endpoints. Handles faulty endpoints that send heads, bodies or events
 * without end in many responses at once, each inside the limits of a single one. Beyond the bound, the response that holds
 * most has to give way, so that a sound one stays as long as a faulty one holds more.
 */
class ResponseBudget
{
public:
    using ResponseId = std::uint64_t;

private:
    std::size_t m_maxBytes;
    std::size_t m_totalBytes = 0;
    /** Has no entries of zero bytes. */
    std::map<ResponseId, std::size_t> m_heldBytes;

public:
    /** Creates a budget without a bound. */
    ResponseBudget();

    /** Sets the bound in bytes. */
    void setMaxBytes(std::size_t bytes);

    std::size_t totalBytes() const;
    /** Whether half of the bound is used, so that sound responses should be passed on rather than held. */
    bool isUnderPressure() const;
    std::size_t heldBytes(ResponseId id) const;

    /** Records that @p bytes are held of the response @p id. */
    void record(ResponseId id, std::size_t bytes);
    void remove(ResponseId id);

    /** Returns the response that holds most if the bound is exceeded, and nullopt otherwise. */
    std::optional<ResponseId> largestBeyondBound() const;
};

}
