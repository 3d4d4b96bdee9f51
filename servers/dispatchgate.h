#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "servers/fleetstate.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronspar
{

/** Request data of a dispatch, and the state of the endpoint that its sender assumed. */
struct DispatchParameters
{
    std::string account;
    std::string keyId;
    std::string weights;
    std::int64_t configVersion = 0;
    std::int64_t engineIncarnation = 0;
    Duration timeLeft{};
    std::uint64_t digest = 0;
};

/** Current state of an endpoint, as known to its endpoint daemon. */
struct EndpointState
{
    std::string endpoint;
    std::string weights;
    std::int64_t engineIncarnation = 0;
    bool isEngineUp = false;
    bool isLeaving = false;
    bool isFresh = false;
    /** Whether the request is blocked, as it is suspected of crashing engines. */
    bool isBlocked = false;
    /** Whether the endpoint is an inference engine; the state of the engine is checked only then. */
    bool hasEngine = true;
    std::int64_t queuedTokens = 0;
};

/**
 * Admission check by the endpoint daemon before it runs a dispatched request.
 * Detects state that changed while the dispatch was in transit, or while the
 * process of the entry daemon that sent it was paused.
 *
 * @return the reason to refuse the request; nullopt if it may run
 */
std::optional<ErrorKind> checkDispatch(const DispatchParameters &parameters, const EndpointState &endpointState,
                                       const FleetState &fleetState);

}
