#include "servers/streamcontinuity.h"

#include <charconv>
#include <cstdint>

namespace citronspar
{

namespace
{

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isValid = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isValid ? std::optional<std::uint64_t>(number) : std::nullopt;
}

}

void StreamContinuity::beginAttempt()
{
    m_isResuming = m_lastId.has_value();
}

StreamContinuity::Verdict StreamContinuity::add(const SseEvent &event)
{
    if (m_isResuming && event.id.has_value()) {
        if (*event.id == *m_lastId) {
            return Verdict::Repeat;
        }
        const std::optional<std::uint64_t> number = parseNumber(*event.id);
        const std::optional<std::uint64_t> last = parseNumber(*m_lastId);
        if (number.has_value() && last.has_value() && *number < *last) {
            return Verdict::NotContinued;
        }
        m_isResuming = false;
    }
    if (event.id.has_value()) {
        m_lastId = event.id;
    }
    if (event.hasData) {
        m_isPositionKnown = event.id.has_value();
    }
    return Verdict::Forward;
}

bool StreamContinuity::canResume() const
{
    return m_isPositionKnown;
}

const std::optional<std::string> &StreamContinuity::lastId() const
{
    return m_lastId;
}

}
