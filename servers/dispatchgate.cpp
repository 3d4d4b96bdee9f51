#include "servers/dispatchgate.h"

namespace citronspar
{

namespace
{

std::optional<ErrorKind> checkKey(const DispatchParameters &terms, const FleetState &state)
{
    if (terms.keyId.empty()) {
        return std::nullopt;
    }
    const Key *key = state.findKeyById(terms.keyId);
    if (key == nullptr || key->isWithdrawn || key->account != terms.account) {
        return ErrorKind::KeyRejected;
    }
    return std::nullopt;
}

std::optional<ErrorKind> checkEngine(const DispatchParameters &terms, const EndpointState &condition)
{
    if (!condition.isEngineUp) {
        return ErrorKind::NoEndpoint;
    }
    // Incarnation 0: the sender did not know the engine, so the dispatch does not rely on its state.
    if (terms.engineIncarnation != 0 && terms.engineIncarnation != condition.engineIncarnation) {
        return ErrorKind::EngineRestarted;
    }
    if (terms.weights != condition.weights) {
        return ErrorKind::WeightsChanged;
    }
    return std::nullopt;
}

}

std::optional<ErrorKind> checkDispatch(const DispatchParameters &terms, const EndpointState &condition, const FleetState &state)
{
    // A sender with a newer configuration may rely on a change that this daemon has not received yet.
    if (!condition.isFresh || terms.configVersion > state.version()) {
        return ErrorKind::NotFresh;
    }
    if (condition.isLeaving) {
        return ErrorKind::EndpointLeaving;
    }
    if (terms.timeLeft <= Duration::zero()) {
        return ErrorKind::DeadlinePassed;
    }
    if (condition.isBlocked) {
        return ErrorKind::RequestBlocked;
    }
    if (condition.queuedTokens > state.settingsFor(condition.endpoint).maxQueuedTokens) {
        return ErrorKind::Overloaded;
    }
    const std::optional<ErrorKind> keyError = checkKey(terms, state);
    if (keyError.has_value() || !condition.hasEngine) {
        return keyError;
    }
    return checkEngine(terms, condition);
}

}
