#include "core/attemptid.h"

#include <charconv>

namespace citronspar
{

std::string AttemptId::toString() const
{
    return std::to_string(incarnation) + "-" + std::to_string(counter);
}

std::optional<AttemptId> AttemptId::fromString(const std::string &text)
{
    const std::size_t separator = text.find('-');
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    AttemptId id;
    const char *begin = text.data();
    const char *end = begin + text.size();
    const std::from_chars_result first = std::from_chars(begin, begin + separator, id.incarnation);
    const std::from_chars_result second = std::from_chars(begin + separator + 1, end, id.counter);
    const bool isFullyParsed = first.ptr == begin + separator && second.ptr == end;
    if (first.ec != std::errc() || second.ec != std::errc() || !isFullyParsed) {
        return std::nullopt;
    }
    return id;
}

}
