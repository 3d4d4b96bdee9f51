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
 * A way of choosing the endpoint for a request. First it names the endpoints
 * to probe; then it chooses with the answers that came in time.
 */
class RoutingStrategy
{
public:
    using Random = std::mt19937_64;

    virtual ~RoutingStrategy() = default;

    /** The endpoints to probe, best guess first; empty when the strategy needs no answers. */
    virtual std::vector<std::size_t> candidates(const RoutingRequest &request, const std::vector<EndpointView> &endpoints, Random &random) = 0;

    /** The endpoint for the request; nothing when none can take it. */
    virtual std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                              const std::vector<std::size_t> &candidates, const std::vector<ProbeResult> &answers) = 0;
};

/** Tunes the strategies that look at hashes and probes. */
struct RoutingSettings
{
    /** Endpoints by hash that are probed. */
    std::size_t hashCandidates = 3;
    /** Endpoints by low load that are probed besides. */
    std::size_t loadCandidates = 1;
    /** How much later the first token may be, in the hash order's favour, for each place in it. */
    Duration hashBias = std::chrono::milliseconds(50);
    /** The load that an endpoint may have, as a multiple of the mean, before hashing with bounded load passes it over. */
    double loadBound = 1.25;
};

/** Names of all strategies, in the order of the bench's table. */
std::vector<std::string> routingStrategyNames();

/** The strategy called @p name; null when there is none. */
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(const std::string &name, const RoutingSettings &settings);

/** The name of the strategy that the daemon uses. */
extern const char *const defaultRoutingStrategy;

}
