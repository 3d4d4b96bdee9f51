#include "drivers/httpreader.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;

namespace
{

template<bool isRequest> struct ReaderFixture
{
    int heads = 0;
    std::string body;
    HttpReader<isRequest> reader;

    explicit ReaderFixture(HttpReadLimits limits = HttpReadLimits())
        : reader(
            limits,
            [this](const HttpHead &) {
                ++heads;
            },
            [this](std::string_view data) {
                body.append(data);
            })
    {
    }

    /** Feeds @p text byte by byte, so that every split of the input is covered. */
    HttpReadState feed(const std::string &text)
    {
        std::string input;
        HttpReadState state = HttpReadState::NeedsMore;
        for (const char byte : text) {
            input += byte;
            state = reader.read(input);
            if (state != HttpReadState::NeedsMore) {
                return state;
            }
        }
        return state;
    }
};

}

TEST_CASE("[HttpReader] The head of a request without a body is reported once")
{
    ReaderFixture<true> fixture;
    CHECK(fixture.feed("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Other: one\r\n\r\n") == HttpReadState::Done);
    CHECK(fixture.heads == 1);
    CHECK(fixture.reader.head().target == "/a?b=c");
    CHECK(fixture.reader.head().value("x-other") == "one");
    CHECK(fixture.reader.isKeepAlive());
}

TEST_CASE("[HttpReader] Bodies with Content-Length and with chunked encoding are read")
{
    ReaderFixture<true> sized;
    CHECK(sized.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello") == HttpReadState::Done);
    CHECK(sized.body == "hello");
    ReaderFixture<true> chunked;
    CHECK(chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n") == HttpReadState::Done);
    CHECK(chunked.body == "hello");
}

TEST_CASE("[HttpReader] A response with Content-Length is incomplete until its last byte")
{
    ReaderFixture<false> fixture;
    CHECK(fixture.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel") == HttpReadState::NeedsMore);
    CHECK_FALSE(fixture.reader.finishAtEof());
}

TEST_CASE("[HttpReader] A response without Content-Length is delimited by EOF, and its connection can't be reused")
{
    ReaderFixture<false> fixture;
    CHECK(fixture.feed("HTTP/1.1 200 OK\r\n\r\nhello") == HttpReadState::NeedsMore);
    CHECK(fixture.reader.contentLength() < 0);
    CHECK(fixture.reader.finishAtEof());
    CHECK_FALSE(fixture.reader.isKeepAlive());
    CHECK(fixture.body == "hello");
}

TEST_CASE("[HttpReader] Oversized and malformed messages are distinguished")
{
    HttpReadLimits limits;
    limits.maxHeaderBytes = 64;
    limits.maxBodyBytes = 4;
    ReaderFixture<true> header(limits);
    CHECK(header.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n") == HttpReadState::HeaderTooLarge);
    ReaderFixture<true> body(limits);
    CHECK(body.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello") == HttpReadState::BodyTooLarge);
    ReaderFixture<false> malformed;
    CHECK(malformed.feed("\x01\x02 no protocol\r\n\r\n") == HttpReadState::Malformed);
    ReaderFixture<true> twoLengths;
    CHECK(twoLengths.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello") == HttpReadState::Malformed);
}
