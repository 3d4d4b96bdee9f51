#include "servers/streamcontinuity.h"

#include <catch2/catch.hpp>

#include <string>

using namespace citronspar;
using Verdict = StreamContinuity::Verdict;

namespace
{

SseEvent makeEvent(const std::string &id)
{
    return SseEvent{"id: " + id + "\ndata: x\n\n", id, true};
}

}

TEST_CASE("[StreamContinuity] The events of one attempt are forwarded as they come")
{
    StreamContinuity continuity;
    continuity.beginAttempt();
    for (const char *id : {"5", "6", "6", "2", "name"}) {
        CHECK(continuity.add(makeEvent(id)) == Verdict::Forward);
    }
    CHECK(continuity.lastId() == "name");
}

TEST_CASE("[StreamContinuity] A resumed attempt may repeat the last event, and nothing before it")
{
    StreamContinuity continuity;
    for (const char *id : {"8", "9", "10"}) {
        CHECK(continuity.add(makeEvent(id)) == Verdict::Forward);
    }
    continuity.beginAttempt();
    CHECK(continuity.add(SseEvent{": comment\n\n", std::nullopt, false}) == Verdict::Forward);
    CHECK(continuity.add(makeEvent("10")) == Verdict::Repeat);
    CHECK(continuity.add(makeEvent("12")) == Verdict::Forward);
    continuity.beginAttempt();
    CHECK(continuity.add(makeEvent("9")) == Verdict::NotContinued);
    CHECK(continuity.lastId() == "12");
}

TEST_CASE("[StreamContinuity] A stream whose last event has no id can't be resumed")
{
    StreamContinuity continuity;
    CHECK(continuity.canResume());
    continuity.add(SseEvent{": comment\n\n", std::nullopt, false});
    CHECK(continuity.canResume());
    continuity.add(makeEvent("1"));
    CHECK(continuity.canResume());
    continuity.add(SseEvent{"data: x\n\n", std::nullopt, true});
    CHECK_FALSE(continuity.canResume());
}
