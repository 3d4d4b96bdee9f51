#include "servers/dispatchgate.h"
#include "servers/fleetstatereader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace citronspar;

namespace
{

std::shared_ptr<const FleetState> exampleState(bool isWithdrawn)
{
    const nlohmann::json document = {
        {"roster", {"a"}},
        {"accounts", {{"mill-a", {{"tokensPerSecond", 1}, {"burstTokens", 1}}}}},
        {"keys", {{"k", {{"account", "mill-a"}, {"sha256", std::string(64, '0')}, {"isWithdrawn", isWithdrawn}}}}},
        {"routes", nlohmann::json::object()},
        {"endpoints", nlohmann::json::object()},
        {"holders", nlohmann::json::object()},
    };
    FleetStateReader reader;
    return reader.read(5, document);
}

DispatchTerms goodTerms()
{
    return DispatchTerms{"mill-a", "k", "w1", 5, 9, std::chrono::seconds(1), 0};
}

EndpointCondition goodCondition()
{
    EndpointCondition condition;
    condition.weights = "w1";
    condition.engineIncarnation = 9;
    condition.isEngineUp = true;
    condition.isFresh = true;
    return condition;
}

struct Case
{
    std::optional<ErrorKind> expected;
    void (*change)(DispatchTerms &terms, EndpointCondition &condition);
};

}

TEST_CASE("[DispatchGate] It refuses what no longer holds, and nothing else")
{
    const Case example = GENERATE(Case{std::nullopt, [](DispatchTerms &, EndpointCondition &) {}},
                                  Case{ErrorKind::EndpointLeaving,
                                       [](DispatchTerms &, EndpointCondition &c) {
                                           c.isLeaving = true;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchTerms &, EndpointCondition &c) {
                                           c.isFresh = false;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchTerms &t, EndpointCondition &) {
                                           t.configVersion = 6;
                                       }},
                                  Case{ErrorKind::DeadlinePassed,
                                       [](DispatchTerms &t, EndpointCondition &) {
                                           t.timeLeft = Duration::zero();
                                       }},
                                  Case{ErrorKind::RequestBlocked,
                                       [](DispatchTerms &, EndpointCondition &c) {
                                           c.isBlocked = true;
                                       }},
                                  Case{ErrorKind::Overloaded,
                                       [](DispatchTerms &, EndpointCondition &c) {
                                           c.queuedTokens = 1000000;
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchTerms &t, EndpointCondition &) {
                                           t.keyId = "unknown";
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchTerms &t, EndpointCondition &) {
                                           t.account = "mill-b";
                                       }},
                                  Case{ErrorKind::NoEndpoint,
                                       [](DispatchTerms &, EndpointCondition &c) {
                                           c.isEngineUp = false;
                                       }},
                                  Case{ErrorKind::EngineRestarted,
                                       [](DispatchTerms &t, EndpointCondition &) {
                                           t.engineIncarnation = 8;
                                       }},
                                  Case{ErrorKind::WeightsChanged, [](DispatchTerms &t, EndpointCondition &) {
                                           t.weights = "w0";
                                       }});
    DispatchTerms terms = goodTerms();
    EndpointCondition condition = goodCondition();
    example.change(terms, condition);
    CHECK(checkDispatch(terms, condition, *exampleState(false)) == example.expected);
}

TEST_CASE("[DispatchGate] A key that was withdrawn while the dispatch was on its way is refused")
{
    CHECK(checkDispatch(goodTerms(), goodCondition(), *exampleState(true)) == ErrorKind::KeyRejected);
}

TEST_CASE("[FleetStateReader] Exceptions change the defaults for their target alone")
{
    const nlohmann::json none = nlohmann::json::object();
    nlohmann::json document
        = {{"roster", {"a"}}, {"accounts", none}, {"keys", none}, {"routes", none}, {"endpoints", none}, {"holders", none}};
    document["defaults"] = {{"maxAttempts", 2}, {"deadlineMilliseconds", 500}};
    document["exceptions"]["e1"] = {{"target", "mill-a"}, {"set", {{"maxAttempts", 5}}}, {"reason", "long logs"}};
    document["exceptions"]["e2"] = {{"target", "mill-a"}, {"set", {{"maxOutputTokens", 7}}}, {"reason", "short answers"}};
    FleetStateReader reader;
    const std::shared_ptr<const FleetState> state = reader.read(1, document);
    REQUIRE(state != nullptr);
    CHECK(state->valuesFor("mill-a").maxAttempts == 5);
    CHECK(state->valuesFor("mill-a").maxOutputTokens == 7);
    CHECK(state->valuesFor("mill-a").deadline == std::chrono::milliseconds(500));
    CHECK(state->valuesFor("mill-b").maxAttempts == 2);
    document["exceptions"]["e1"].erase("reason");
    CHECK(reader.read(1, document) == nullptr);
}

TEST_CASE("[FleetStateReader] A document that is not valid is refused with the place of the error")
{
    FleetStateReader reader;
    CHECK(reader.read(1, nlohmann::json::object()) == nullptr);
    nlohmann::json document = {{"roster", {"a"}},
                               {"accounts", {{"x", {{"tokensPerSecond", "fast"}, {"burstTokens", 1}}}}},
                               {"keys", nlohmann::json::object()},
                               {"routes", nlohmann::json::object()},
                               {"endpoints", nlohmann::json::object()},
                               {"holders", nlohmann::json::object()}};
    CHECK(reader.read(1, document) == nullptr);
    CHECK(reader.lastReason().find("tokensPerSecond") != std::string::npos);
    document["accounts"] = nlohmann::json::object();
    document["surprise"] = 1;
    CHECK(reader.read(1, document) == nullptr);
    document.erase("surprise");
    CHECK(reader.read(1, document) != nullptr);
}
