#pragma once

#include "drivers/httphead.h"
#include "servers/framing/messageframing.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace citronspar
{

/** Size limits on a message that is read. */
struct HttpReadLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4U * 1024 * 1024;
};

/** How the end of a message body is marked (RFC 9112, 6.3). */
enum class HttpBodyFraming {
    Length,
    Chunked,
    /** Neither: the body ends with the connection, so only its content can show whether it is complete. */
    ConnectionEnd,
};

/** Name for log lines. */
const char *framingName(HttpBodyFraming framing);

/** State of parsing one message. */
enum class HttpReadState {
    NeedsMore,
    Done,
    HeaderTooLarge,
    BodyTooLarge,
    /** No HTTP message, or one whose body has no certain end. */
    Malformed,
    /** The body is in a transfer coding that is not decoded here. */
    UnknownCoding,
};

/**
 * Incremental parser of one HTTP/1.1 message, based on Boost.Beast. The body
 * is passed to the data handler as it arrives and is not buffered here. A message
 * whose framing is faulty is not reported to any handler.
 */
template<bool isRequest> class HttpReader : private boost::beast::http::basic_parser<isRequest>
{
public:
    using HeadHandler = std::function<void(const HttpHead &head)>;
    using DataHandler = std::function<void(std::string_view data)>;

private:
    using Base = boost::beast::http::basic_parser<isRequest>;
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    HttpHead m_head;
    bool m_isHttp10 = false;
    MessageFraming m_messageFraming;
    /** State in which reading ends for good, or NeedsMore. */
    HttpReadState m_refusal = HttpReadState::NeedsMore;
    std::uint32_t m_maxHeaderBytes;
    HeadHandler m_headHandler;
    DataHandler m_dataHandler;

    /** Returns NeedsMore if the library reads the body by the framing that was decided on. */
    HttpReadState checkFraming() const;
    void endIfRefused(ErrorCode &error) const;

    void on_request_impl(boost::beast::http::verb verb, Text method, Text target, int version, ErrorCode &error) override;
    void on_response_impl(int code, Text reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value, ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const &length, ErrorCode &error) override;
    std::size_t on_body_impl(Text body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, Text body, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

public:
    HttpReader(HttpReadLimits limits, HeadHandler headHandler, DataHandler dataHandler);

    /** Parses as much as possible and removes the consumed bytes from the front of @p input. */
    HttpReadState read(std::string &input);

    /** Called at end of stream. Returns true if the message is complete, either already or because EOF delimits its body. */
    bool finishAtEof();

    const HttpHead &head() const;
    bool hasHead() const;

    /** Whether the message is of HTTP/1.0, whose receivers do not know chunks. Valid once the head is complete. */
    bool isHttp10() const;

    /** Whether the connection can be reused after this message. */
    bool isKeepAlive() const;

    /** The value of Content-Length, or -1 if the message has none. */
    std::int64_t contentLength() const;

    /** Valid once the head is complete. */
    HttpBodyFraming framing() const;
};

using HttpRequestReader = HttpReader<true>;
using HttpResponseReader = HttpReader<false>;

}
