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

DispatchParameters validTerms()
{
    return DispatchParameters{"mill-a", "k", "w1", 5, 9, std::chrono::seconds(1), 0};
}

EndpointState validCondition()
{
    EndpointState condition;
    condition.weights = "w1";
    condition.engineIncarnation = 9;
    condition.isEngineUp = true;
    condition.isFresh = true;
    return condition;
}

struct Case
{
    std::optional<ErrorKind> expected;
    void (*change)(DispatchParameters &terms, EndpointState &condition);
};

}

TEST_CASE("[DispatchGate] It refuses exactly those dispatches whose assumptions no longer hold")
{
    const Case example = GENERATE(Case{std::nullopt, [](DispatchParameters &, EndpointState &) {}},
                                  Case{ErrorKind::EndpointLeaving,
                                       [](DispatchParameters &, EndpointState &c) {
                                           c.isLeaving = true;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchParameters &, EndpointState &c) {
                                           c.isFresh = false;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchParameters &t, EndpointState &) {
                                           t.configVersion = 6;
                                       }},
                                  Case{ErrorKind::DeadlinePassed,
                                       [](DispatchParameters &t, EndpointState &) {
                                           t.timeLeft = Duration::zero();
                                       }},
                                  Case{ErrorKind::RequestBlocked,
                                       [](DispatchParameters &, EndpointState &c) {
                                           c.isBlocked = true;
                                       }},
                                  Case{ErrorKind::Overloaded,
                                       [](DispatchParameters &, EndpointState &c) {
                                           c.queuedTokens = 1000000;
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchParameters &t, EndpointState &) {
                                           t.keyId = "unknown";
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchParameters &t, EndpointState &) {
                                           t.account = "mill-b";
                                       }},
                                  Case{ErrorKind::NoEndpoint,
                                       [](DispatchParameters &, EndpointState &c) {
                                           c.isEngineUp = false;
                                       }},
                                  Case{ErrorKind::EngineRestarted,
                                       [](DispatchParameters &t, EndpointState &) {
                                           t.engineIncarnation = 8;
                                       }},
                                  Case{ErrorKind::WeightsChanged, [](DispatchParameters &t, EndpointState &) {
                                           t.weights = "w0";
                                       }});
    DispatchParameters terms = validTerms();
    EndpointState condition = validCondition();
    example.change(terms, condition);
    CHECK(checkDispatch(terms, condition, *exampleState(false)) == example.expected);
}

TEST_CASE("[DispatchGate] A key that was withdrawn while the dispatch was in transit is refused")
{
    CHECK(checkDispatch(validTerms(), validCondition(), *exampleState(true)) == ErrorKind::KeyRejected);
}
