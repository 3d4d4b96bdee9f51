#include "drivers/httpreader.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;

namespace
{

template<bool isRequest> struct Reading
{
    int heads = 0;
    std::string body;
    HttpReader<isRequest> reader;

    explicit Reading(HttpReadLimits limits = HttpReadLimits())
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

    /** Feeds one byte after the other, as a slow network would. */
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

TEST_CASE("[HttpReader] The head of a request without a body is told")
{
    Reading<true> reading;
    CHECK(reading.feed("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Other: one\r\n\r\n") == HttpReadState::Done);
    CHECK(reading.heads == 1);
    CHECK(reading.reader.head().target == "/a?b=c");
    CHECK(reading.reader.head().value("x-other") == "one");
    CHECK(reading.reader.keepsAlive());
}

TEST_CASE("[HttpReader] Bodies with a length and in chunks are read")
{
    Reading<true> sized;
    CHECK(sized.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello") == HttpReadState::Done);
    CHECK(sized.body == "hello");
    Reading<true> chunked;
    CHECK(chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n") == HttpReadState::Done);
    CHECK(chunked.body == "hello");
}

TEST_CASE("[HttpReader] An answer that states a length is not whole before its last byte")
{
    Reading<false> reading;
    CHECK(reading.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel") == HttpReadState::NeedsMore);
    CHECK_FALSE(reading.reader.finishAtEnd());
}

TEST_CASE("[HttpReader] An answer without a length ends with its connection and closes it")
{
    Reading<false> reading;
    CHECK(reading.feed("HTTP/1.1 200 OK\r\n\r\nhello") == HttpReadState::NeedsMore);
    CHECK(reading.reader.statedLength() < 0);
    CHECK(reading.reader.finishAtEnd());
    CHECK_FALSE(reading.reader.keepsAlive());
    CHECK(reading.body == "hello");
}

TEST_CASE("[HttpReader] Too large and malformed messages are told apart")
{
    HttpReadLimits limits;
    limits.maxHeaderBytes = 64;
    limits.maxBodyBytes = 4;
    Reading<true> header(limits);
    CHECK(header.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n") == HttpReadState::HeaderTooLarge);
    Reading<true> body(limits);
    CHECK(body.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello") == HttpReadState::BodyTooLarge);
    Reading<false> garbage;
    CHECK(garbage.feed("\x01\x02 no protocol\r\n\r\n") == HttpReadState::Malformed);
    Reading<true> twoLengths;
    CHECK(twoLengths.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello") == HttpReadState::Malformed);
}
