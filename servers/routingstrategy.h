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

/** The state of an endpoint as last reported to an entry daemon; may be outdated. */
struct EndpointView
{
    std::uint64_t idHash = 0;
    /** Queued and running tokens, as last reported. */
    std::int64_t reportedTokens = 0;
    bool canTakeWork = true;
};

/** The answer of an endpoint daemon to a probe. */
struct ProbeResult
{
    /** Index into the list of endpoints. */
    std::size_t endpoint = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t queuedTokens = 0;
    double prefillTokensPerSecond = 1;
    bool canTakeWork = true;
};

/** A request to be placed on an endpoint. */
struct RoutingRequest
{
    /** The prompt's affinityHash(). */
    std::uint64_t affinity = 0;
    std::int64_t promptTokens = 0;
};

/**
 * Selects the endpoint for a request. A strategy returns endpoints to probe,
 * possibly in several rounds, and then decides with the answers that arrived in
 * time. Endpoints are given as indices into the list of endpoints.
 */
class RoutingStrategy
{
public:
    using Random = std::mt19937_64;

    virtual ~RoutingStrategy() = default;

    /**
     * Returns the endpoints to probe next, the most promising first; empty if no more probes are needed.
     * @param probed the endpoints that were probed in earlier rounds
     */
    virtual std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                                const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &answers,
                                                Random &random)
        = 0;

    /** Returns the endpoint for the request, or nullopt if none can take it. */
    virtual std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                              const std::vector<ProbeResult> &answers)
        = 0;
};

/** Parameters of the strategies that use hashes and probes. */
struct RoutingSettings
{
    /** The number of endpoints in the first round of probes. */
    std::size_t firstProbes = 2;
    /** The number of endpoints in the second round, used when the predicted time to first token at the first ones is too long. */
    std::size_t moreProbes = 1;
    /** The predicted time to first token above which the second round is used. */
    Duration probeMoreAbove = std::chrono::milliseconds(150);
    /** Additional weight of tokens to recompute: they delay other requests and evict their blocks. */
    double recomputeWeight = 0.5;
    /** The maximum number of recorded placements, which locate prefixes cached outside the first endpoints in rendezvous order. */
    std::size_t maxRecordedPlacements = 4096;
    /** The maximum load of an endpoint as a multiple of the mean, for consistent hashing with bounded loads. */
    double loadBound = 1.25;
};

}
