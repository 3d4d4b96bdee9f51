#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "servers/fleetstate.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronspar
{

/** What a dispatch says about the request and about the endpoint as its sender saw it. */
struct DispatchTerms
{
    std::string account;
    std::string keyId;
    std::string weights;
    std::int64_t configVersion = 0;
    std::int64_t engineIncarnation = 0;
    Duration timeLeft{};
    std::uint64_t digest = 0;
};

/** The endpoint as its own daemon sees it. */
struct EndpointCondition
{
    std::string endpoint;
    std::string weights;
    std::int64_t engineIncarnation = 0;
    bool isEngineUp = false;
    bool isLeaving = false;
    bool isFresh = false;
    bool isBlocked = false;
    bool hasEngine = true;
    std::int64_t queuedTokens = 0;
};

/**
 * The last check before a request is handed over, at the endpoint daemon: it
 * catches what changed while the dispatch was on its way, or while the entry
 * daemon that sent it was paused.
 *
 * @return the reason to refuse; nothing when the request may run
 */
std::optional<ErrorKind> checkDispatch(const DispatchTerms &terms, const EndpointCondition &condition, const FleetState &state);

}
