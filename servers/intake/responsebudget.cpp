#include "servers/intake/responsebudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronspar
{

namespace
{

// The other half is left for responses that can't be passed on yet.
constexpr std::size_t pressureFraction = 2;

}

ResponseBudget::ResponseBudget()
    : m_maxBytes(std::numeric_limits<std::size_t>::max())
{
}

void ResponseBudget::setMaxBytes(std::size_t bytes)
{
    m_maxBytes = bytes;
}

std::size_t ResponseBudget::totalBytes() const
{
    return m_totalBytes;
}

bool ResponseBudget::isUnderPressure() const
{
    return m_totalBytes > m_maxBytes / pressureFraction;
}

std::size_t ResponseBudget::heldBytes(ResponseId id) const
{
    const auto found = m_heldBytes.find(id);
    return found == m_heldBytes.end() ? 0 : found->second;
}

void ResponseBudget::record(ResponseId id, std::size_t bytes)
{
    if (bytes == 0) {
        remove(id);
        return;
    }
    std::size_t &heldBytes = m_heldBytes[id];
    m_totalBytes = m_totalBytes - heldBytes + bytes;
    heldBytes = bytes;
}

void ResponseBudget::remove(ResponseId id)
{
    const auto found = m_heldBytes.find(id);
    if (found != m_heldBytes.end()) {
        m_totalBytes -= found->second;
        m_heldBytes.erase(found);
    }
}

std::optional<ResponseBudget::ResponseId> ResponseBudget::largestBeyondBound() const
{
    if (m_totalBytes <= m_maxBytes || m_heldBytes.empty()) {
        return std::nullopt;
    }
    using Entry = std::pair<const ResponseId, std::size_t>;
    const auto largest = std::max_element(m_heldBytes.begin(), m_heldBytes.end(), [](const Entry &first, const Entry &second) {
        return first.second < second.second;
    });
    return largest->first;
}

}
