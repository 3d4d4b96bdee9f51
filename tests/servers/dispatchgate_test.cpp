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

DispatchParameters validParameters()
{
    return DispatchParameters{"mill-a", "k", "w1", 5, 9, std::chrono::seconds(1), 0};
}

EndpointState validEndpointState()
{
    EndpointState endpointState;
    endpointState.weights = "w1";
    endpointState.engineIncarnation = 9;
    endpointState.isEngineUp = true;
    endpointState.isFresh = true;
    return endpointState;
}

struct Case
{
    std::optional<ErrorKind> expected;
    void (*change)(DispatchParameters &parameters, EndpointState &endpointState);
};

}

TEST_CASE("[DispatchGate] A dispatch is refused with the error kind of the check that fails, and only then")
{
    const Case example = GENERATE(Case{std::nullopt, [](DispatchParameters &, EndpointState &) {}},
                                  Case{ErrorKind::EndpointLeaving,
                                       [](DispatchParameters &, EndpointState &s) {
                                           s.isLeaving = true;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchParameters &, EndpointState &s) {
                                           s.isFresh = false;
                                       }},
                                  Case{ErrorKind::NotFresh,
                                       [](DispatchParameters &p, EndpointState &) {
                                           p.configVersion = 6;
                                       }},
                                  Case{ErrorKind::DeadlinePassed,
                                       [](DispatchParameters &p, EndpointState &) {
                                           p.timeLeft = Duration::zero();
                                       }},
                                  Case{ErrorKind::RequestBlocked,
                                       [](DispatchParameters &, EndpointState &s) {
                                           s.isBlocked = true;
                                       }},
                                  Case{ErrorKind::Overloaded,
                                       [](DispatchParameters &, EndpointState &s) {
                                           s.queuedTokens = 1000000;
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchParameters &p, EndpointState &) {
                                           p.keyId = "unknown";
                                       }},
                                  Case{ErrorKind::KeyRejected,
                                       [](DispatchParameters &p, EndpointState &) {
                                           p.account = "mill-b";
                                       }},
                                  Case{ErrorKind::NoEndpoint,
                                       [](DispatchParameters &, EndpointState &s) {
                                           s.isEngineUp = false;
                                       }},
                                  Case{ErrorKind::EngineRestarted,
                                       [](DispatchParameters &p, EndpointState &) {
                                           p.engineIncarnation = 8;
                                       }},
                                  Case{ErrorKind::WeightsChanged, [](DispatchParameters &p, EndpointState &) {
                                           p.weights = "w0";
                                       }});
    DispatchParameters parameters = validParameters();
    EndpointState endpointState = validEndpointState();
    example.change(parameters, endpointState);
    CHECK(checkDispatch(parameters, endpointState, *exampleState(false)) == example.expected);
}

TEST_CASE("[DispatchGate] A key that was withdrawn while the dispatch was in transit is refused")
{
    CHECK(checkDispatch(validParameters(), validEndpointState(), *exampleState(true)) == ErrorKind::KeyRejected);
}
