#include "drivers/httpreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/impl/basic_parser.ipp>
#include <boost/beast/http/verb.hpp>

#include <utility>

namespace citronspar
{

namespace http = boost::beast::http;

namespace
{

// The library's notation of HTTP/1.1.
constexpr int http11 = 11;

// Other numbers are no status codes (RFC 9110, 15).
constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
// Only follows a request to upgrade the connection, which is never sent.
constexpr int switchingProtocols = 101;

bool isReadableStatus(int status)
{
    return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
}

}

const char *framingName(HttpBodyFraming framing)
{
    switch (framing) {
    case HttpBodyFraming::Length:
        return "length";
    case HttpBodyFraming::Chunked:
        return "chunked";
    case HttpBodyFraming::ConnectionEnd:
        return "connection end";
    }
    return "";
}

template<bool isRequest>
HttpReader<isRequest>::HttpReader(HttpReadLimits limits, HeadHandler headHandler, DataHandler dataHandler)
    : m_maxHeaderBytes(limits.maxHeaderBytes)
    , m_headHandler(std::move(headHandler))
    , m_dataHandler(std::move(dataHandler))
{
    Base::header_limit(limits.maxHeaderBytes);
    Base::body_limit(limits.maxBodyBytes);
    Base::eager(true);
}

template<bool isRequest> void HttpReader<isRequest>::on_request_impl(http::verb, Text method, Text target, int version, ErrorCode &error)
{
    m_isHttp10 = version < http11;
    m_head.method.assign(method.data(), method.size());
    m_head.target.assign(target.data(), target.size());
    error = {};
}

template<bool isRequest> void HttpReader<isRequest>::on_response_impl(int code, Text reason, int version, ErrorCode &error)
{
    m_isHttp10 = version < http11;
    m_head.status = code;
    m_head.reason.assign(reason.data(), reason.size());
    if (!isReadableStatus(code)) {
        m_refusal = HttpReadState::Malformed;
        error = http::error::bad_status;
        return;
    }
    error = {};
}

template<bool isRequest> void HttpReader<isRequest>::on_field_impl(http::field, Text name, Text value, ErrorCode &error)
{
    m_head.fields.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
    // Fields of a trailer come later and don't frame the message.
    if (!Base::is_header_done()) {
        m_messageFraming.addField(std::string_view(name.data(), name.size()), std::string_view(value.data(), value.size()));
    }
    error = {};
}

template<bool isRequest> HttpReadState HttpReader<isRequest>::checkFraming() const
{
    const MessageFraming::Verdict verdict = m_messageFraming.verdict(m_isHttp10);
    if (verdict == MessageFraming::Verdict::UnknownCoding) {
        return HttpReadState::UnknownCoding;
    }
    const bool isSound = verdict != MessageFraming::Verdict::Faulty && Base::chunked() == (verdict == MessageFraming::Verdict::Chunked);
    return isSound ? HttpReadState::NeedsMore : HttpReadState::Malformed;
}

template<bool isRequest> void HttpReader<isRequest>::on_header_impl(ErrorCode &error)
{
    m_refusal = checkFraming();
    if (m_refusal != HttpReadState::NeedsMore) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    error = {};
    m_headHandler(m_head);
}

template<bool isRequest> void HttpReader<isRequest>::on_body_init_impl(boost::optional<std::uint64_t> const &, ErrorCode &error)
{
    endIfRefused(error);
}

template<bool isRequest> void HttpReader<isRequest>::endIfRefused(ErrorCode &error) const
{
    // The library goes on to the body after an error in the head.
    error = m_refusal == HttpReadState::NeedsMore ? ErrorCode() : http::error::bad_transfer_encoding;
}

template<bool isRequest> std::size_t HttpReader<isRequest>::on_body_impl(Text body, ErrorCode &error)
{
    error = {};
    m_dataHandler(std::string_view(body.data(), body.size()));
    return body.size();
}

template<bool isRequest> void HttpReader<isRequest>::on_chunk_header_impl(std::uint64_t, Text, ErrorCode &error)
{
    endIfRefused(error);
}

template<bool isRequest> std::size_t HttpReader<isRequest>::on_chunk_body_impl(std::uint64_t, Text body, ErrorCode &error)
{
    error = {};
    m_dataHandler(std::string_view(body.data(), body.size()));
    return body.size();
}

template<bool isRequest> void HttpReader<isRequest>::on_finish_impl(ErrorCode &error)
{
    error = {};
}

template<bool isRequest> HttpReadState HttpReader<isRequest>::read(std::string &input)
{
    while (!input.empty() && !Base::is_done() && m_refusal == HttpReadState::NeedsMore) {
        ErrorCode error;
        const std::size_t count = Base::put(boost::asio::buffer(input.data(), input.size()), error);
        input.erase(0, count);
        if (error == http::error::need_more) {
            break;
        }
        if (error == http::error::header_limit) {
            return HttpReadState::HeaderTooLarge;
        }
        if (error == http::error::body_limit) {
            return HttpReadState::BodyTooLarge;
        }
        if (error && m_refusal == HttpReadState::NeedsMore) {
            return HttpReadState::Malformed;
        }
    }
    if (m_refusal != HttpReadState::NeedsMore) {
        return m_refusal;
    }
    if (Base::is_done()) {
        return HttpReadState::Done;
    }
    // Body data is consumed at once, so the rest is part of the head, or of a chunk's line or trailer without end.
    return input.size() > m_maxHeaderBytes ? HttpReadState::HeaderTooLarge : HttpReadState::NeedsMore;
}

template<bool isRequest> bool HttpReader<isRequest>::finishAtEof()
{
    if (Base::is_done()) {
        return true;
    }
    if (!Base::is_header_done() || !Base::need_eof()) {
        return false;
    }
    ErrorCode error;
    Base::put_eof(error);
    return !error && Base::is_done();
}

template<bool isRequest> const HttpHead &HttpReader<isRequest>::head() const
{
    return m_head;
}

template<bool isRequest> bool HttpReader<isRequest>::hasHead() const
{
    return Base::is_header_done();
}

template<bool isRequest> bool HttpReader<isRequest>::isHttp10() const
{
    return m_isHttp10;
}

template<bool isRequest> bool HttpReader<isRequest>::isKeepAlive() const
{
    return Base::is_header_done() && Base::keep_alive() && !Base::need_eof();
}

template<bool isRequest> std::int64_t HttpReader<isRequest>::contentLength() const
{
    const boost::optional<std::uint64_t> length = Base::content_length();
    return length.has_value() ? static_cast<std::int64_t>(*length) : -1;
}

template<bool isRequest> HttpBodyFraming HttpReader<isRequest>::framing() const
{
    if (Base::chunked()) {
        return HttpBodyFraming::Chunked;
    }
    return Base::need_eof() ? HttpBodyFraming::ConnectionEnd : HttpBodyFraming::Length;
}

template class HttpReader<true>;
template class HttpReader<false>;

}
