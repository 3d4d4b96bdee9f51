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

DispatchTerms validTerms()
{
    return DispatchTerms{"mill-a", "k", "w1", 5, 9, std::chrono::seconds(1), 0};
}

EndpointCondition validCondition()
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

TEST_CASE("[DispatchGate] It refuses exactly those dispatches whose assumptions no longer hold")
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
    DispatchTerms terms = validTerms();
    EndpointCondition condition = validCondition();
    example.change(terms, condition);
    CHECK(checkDispatch(terms, condition, *exampleState(false)) == example.expected);
}

TEST_CASE("[DispatchGate] A key that was withdrawn while the dispatch was in transit is refused")
{
    CHECK(checkDispatch(validTerms(), validCondition(), *exampleState(true)) == ErrorKind::KeyRejected);
}
