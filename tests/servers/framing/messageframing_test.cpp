#include "servers/framing/messageframing.h"
#include "tests/fakes/framingtable.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;

namespace
{

MessageFraming::Verdict verdictOf(const fakes::FramedMessage &message)
{
    MessageFraming framing;
    std::size_t start = 0;
    for (std::size_t end = message.fields.find("\r\n"); end != std::string::npos; end = message.fields.find("\r\n", start)) {
        const std::string line = message.fields.substr(start, end - start);
        framing.addField(line.substr(0, line.find(':')), line.substr(line.find(':') + 1));
        start = end + 2;
    }
    return framing.verdict(message.isHttp10);
}

bool agrees(MessageFraming::Verdict verdict, fakes::FramingReading reading)
{
    const bool isRefused = verdict == MessageFraming::Verdict::Faulty || verdict == MessageFraming::Verdict::UnknownCoding;
    switch (reading) {
    case fakes::FramingReading::Length:
        return verdict == MessageFraming::Verdict::Length;
    case fakes::FramingReading::Chunked:
        return verdict == MessageFraming::Verdict::Chunked;
    case fakes::FramingReading::Refused:
        return isRefused;
    case fakes::FramingReading::ChunkedOrRefused:
        return isRefused || verdict == MessageFraming::Verdict::Chunked;
    case fakes::FramingReading::LengthOrRefused:
        return isRefused || verdict == MessageFraming::Verdict::Length;
    }
    return false;
}

}

TEST_CASE("[MessageFraming] Each framing of the table is read as RFC 9112 reads it, or refused")
{
    for (const fakes::FramedMessage &message : fakes::framedMessages("body")) {
        INFO((message.isHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ") << message.fields);
        CHECK(agrees(verdictOf(message), message.reading));
    }
}

TEST_CASE("[MessageFraming] A coding that is not decoded is told apart from a body without a known end")
{
    MessageFraming known;
    known.addField("Transfer-Encoding", "gzip, chunked");
    CHECK(known.verdict(false) == MessageFraming::Verdict::UnknownCoding);
    MessageFraming unknown;
    unknown.addField("Transfer-Encoding", "gzip");
    CHECK(unknown.verdict(false) == MessageFraming::Verdict::Faulty);
    CHECK(MessageFraming().verdict(false) == MessageFraming::Verdict::Unmarked);
    CHECK(MessageFraming().verdict(true) == MessageFraming::Verdict::Unmarked);
}
