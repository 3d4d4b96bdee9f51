#include "servers/framing/messageframing.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace citronspar
{

namespace
{

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** @param lowerCase text without upper-case letters */
bool isEqualIgnoringCase(std::string_view text, std::string_view lowerCase)
{
    return std::equal(text.begin(), text.end(), lowerCase.begin(), lowerCase.end(), [](unsigned char letter, char lower) {
        return std::tolower(letter) == lower;
    });
}

/** Calls @p visit for each member of a comma-separated list, also for empty ones. */
template<typename Visitor> void forEachMember(std::string_view list, const Visitor &visit)
{
    for (std::size_t comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
        visit(trim(list.substr(0, comma)));
        list.remove_prefix(comma + 1);
    }
    visit(trim(list));
}

}

void MessageFraming::addField(std::string_view name, std::string_view value)
{
    if (isEqualIgnoringCase(name, "transfer-encoding")) {
        addTransferEncoding(value);
    } else if (isEqualIgnoringCase(name, "content-length")) {
        addContentLength(value);
    }
}

void MessageFraming::addTransferEncoding(std::string_view list)
{
    m_hasTransferEncoding = true;
    forEachMember(list, [this](std::string_view coding) {
        if (coding.empty()) {
            return;
        }
        m_isLastChunked = isEqualIgnoringCase(coding, "chunked");
        m_chunkedCodings += m_isLastChunked ? 1 : 0;
        ++m_codings;
    });
}

void MessageFraming::addContentLength(std::string_view list)
{
    forEachMember(list, [this](std::string_view text) {
        std::uint64_t length = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), length);
        const bool isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
        // Repeated lengths are allowed if they agree (RFC 9110, 8.6).
        m_isLengthValid = m_isLengthValid && isNumber && m_length.value_or(length) == length;
        m_length = length;
    });
}

MessageFraming::Verdict MessageFraming::verdict(bool isHttp10) const
{
    if (!m_isLengthValid) {
        return Verdict::Faulty;
    }
    if (!m_hasTransferEncoding) {
        return m_length.has_value() ? Verdict::Length : Verdict::Unmarked;
    }
    if (isHttp10 || m_length.has_value() || !m_isLastChunked || m_chunkedCodings != 1) {
        return Verdict::Faulty;
    }
    return m_codings == 1 ? Verdict::Chunked : Verdict::UnknownCoding;
}

}
