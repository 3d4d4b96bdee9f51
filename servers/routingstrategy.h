#pragma once

#include "core/time.h"
#include "servers/promptchain.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace citronspar
{

/** What an entry daemon knows of an endpoint without asking: possibly old. */
struct EndpointView
{
    std::uint64_t idHash = 0;
    /** Tokens that wait or run there, as last reported. */
    std::int64_t reportedTokens = 0;
    bool canTakeWork = true;
};

/** What an endpoint daemon answered to a probe. */
struct ProbeResult
{
    std::size_t endpoint = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t queuedTokens = 0;
    double prefillTokensPerSecond = 1;
    bool canTakeWork = true;
};

/** The request to place. */
struct RoutingRequest
{
    std::uint64_t affinity = 0;
    std::int64_t promptTokens = 0;
};

/**
 * A way of choosing the endpoint for a request. It names endpoints to probe,
 * possibly in several rounds, and then chooses with the answers that came in
 * time.
 */
class RoutingStrategy
{
public:
    using Random = std::mt19937_64;

    virtual ~RoutingStrategy() = default;

    /**
     * The endpoints to probe next, best guess first; empty when the answers so far are enough.
     * @param probed the endpoints that were probed in earlier rounds
     */
    virtual std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                                const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &answers,
                                                Random &random)
        = 0;

    /** The endpoint for the request; nothing when none can take it. */
    virtual std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                              const std::vector<ProbeResult> &answers)
        = 0;
};

/** Tunes the strategies that look at hashes and probes. */
struct RoutingSettings
{
    /** Endpoints that are probed first. */
    std::size_t firstProbes = 2;
    /** Endpoints that are probed besides when the first ones would keep the request waiting. */
    std::size_t moreProbes = 1;
    /** The predicted time to first token above which more endpoints are probed. */
    Duration probeMoreAbove = std::chrono::milliseconds(150);
    /** What recomputing counts for besides the request's own wait: it takes time from others and evicts their blocks. */
    double recomputeWeight = 0.5;
    /** The placements that are remembered, so that a copy off the hash order is found again. */
    std::size_t rememberedPlacements = 4096;
    /** The load that an endpoint may have, as a multiple of the mean, before hashing with bounded load passes it over. */
    double loadBound = 1.25;
};

}
