#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronspar
{

/**
 * Decides from the fields of a message's head alone how the end of its body is marked (RFC 9112, section 6). Handles messages
 * that two readers would end at different bytes, so that part of a body could be taken for another message.
 */
class MessageFraming
{
public:
    enum class Verdict {
        /** Neither Content-Length nor Transfer-Encoding. */
        Unmarked,
        Length,
        Chunked,
        /** The end of the body can't be known, or readers may differ about it. */
        Faulty,
        /** The body ends with its last chunk, but is in a coding that is not decoded here. */
        UnknownCoding,
    };

private:
    bool m_hasTransferEncoding = false;
    /** Codings that follow each other, over all fields. */
    int m_codings = 0;
    int m_chunkedCodings = 0;
    bool m_isLastChunked = false;
    std::optional<std::uint64_t> m_length;
    bool m_isLengthValid = true;

    void addTransferEncoding(std::string_view list);
    void addContentLength(std::string_view list);

public:
    /** Adds a field of the head; those that don't frame the body are ignored. */
    void addField(std::string_view name, std::string_view value);

    /** @param isHttp10 whether the message is of HTTP/1.0, which has no transfer codings */
    Verdict verdict(bool isHttp10) const;
};

}
