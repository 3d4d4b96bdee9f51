#include "servers/dispatchgate.h"

namespace citronspar
{

namespace
{

std::optional<ErrorKind> checkKey(const DispatchParameters &parameters, const FleetState &fleetState)
{
    if (parameters.keyId.empty()) {
        return std::nullopt;
    }
    const Key *key = fleetState.findKeyById(parameters.keyId);
    if (key == nullptr || key->isWithdrawn || key->account != parameters.account) {
        return ErrorKind::KeyRejected;
    }
    return std::nullopt;
}

std::optional<ErrorKind> checkEngine(const DispatchParameters &parameters, const EndpointState &endpointState)
{
    if (!endpointState.isEngineUp) {
        return ErrorKind::NoEndpoint;
    }
    // Incarnation 0: the sender did not know the engine, so the dispatch does not rely on its state.
    if (parameters.engineIncarnation != 0 && parameters.engineIncarnation != endpointState.engineIncarnation) {
        return ErrorKind::EngineRestarted;
    }
    if (parameters.weights != endpointState.weights) {
        return ErrorKind::WeightsChanged;
    }
    return std::nullopt;
}

}

std::optional<ErrorKind> checkDispatch(const DispatchParameters &parameters, const EndpointState &endpointState,
                                       const FleetState &fleetState)
{
    // A sender with a newer configuration may rely on a change that this daemon has not received yet.
    if (!endpointState.isFresh || parameters.configVersion > fleetState.version()) {
        return ErrorKind::NotFresh;
    }
    if (endpointState.isLeaving) {
        return ErrorKind::EndpointLeaving;
    }
    if (parameters.timeLeft <= Duration::zero()) {
        return ErrorKind::DeadlinePassed;
    }
    if (endpointState.isBlocked) {
        return ErrorKind::RequestBlocked;
    }
    if (endpointState.queuedTokens > fleetState.settingsFor(endpointState.endpoint).maxQueuedTokens) {
        return ErrorKind::Overloaded;
    }
    const std::optional<ErrorKind> keyError = checkKey(parameters, fleetState);
    if (keyError.has_value() || !endpointState.hasEngine) {
        return keyError;
    }
    return checkEngine(parameters, endpointState);
}

}
