#pragma once

#include "main/configservice.h"
#include "main/peerlinks.h"
#include "servers/routingstrategy.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronspar
{

/** The endpoint chosen for a model request, with the engine state from its probe answer if it answered. */
struct Placement
{
    std::string endpoint;
    std::string address;
    std::int64_t engineIncarnation = 0;
    std::string weights;
};

/** Chooses the endpoint for a model request by probing candidates of the pool. */
class ProbeService
{
public:
    using PlacementHandler = std::function<void(const std::optional<Placement> &placement)>;

    struct Query
    {
        std::string account;
        std::string pool;
        PromptChain chain;
        std::set<std::string> excluded;
        /** If not empty, only endpoints with these weights are eligible. */
        std::string weights;
    };

private:
    struct PendingQuery
    {
        RoutingRequest request;
        std::vector<const Endpoint *> endpoints;
        std::vector<EndpointView> views;
        std::string account;
        std::vector<std::int64_t> blocks;
        std::vector<std::size_t> probed;
        std::vector<ProbeResult> results;
        std::vector<wire::ProbeAnswer> answers;
        std::string requiredWeights;
        std::shared_ptr<const FleetState> state;
        PlacementHandler handler;
        TimerService::TimerId timer = 0;
    };

    struct EndpointStatus
    {
        std::int64_t queuedTokens = 0;
        TimePoint failedAt = timeNever;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    std::unique_ptr<RoutingStrategy> m_strategy;
    RoutingStrategy::Random m_random;
    std::map<std::int64_t, PendingQuery> m_pendingQueries;
    std::map<std::string, EndpointStatus> m_endpointStatus;

    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void handleProbeAnswer(const MessageOrigin &origin, const wire::ProbeAnswer &answer);
    void probeNext(std::int64_t id);
    void finish(std::int64_t id);

public:
    ProbeService(DaemonCore &core, PeerLinks &links, ConfigService &config, std::unique_ptr<RoutingStrategy> strategy);

    /**
     * Chooses an endpoint. The handler is called exactly once, possibly before
     * this returns, and gets nullopt if no endpoint is eligible.
     */
    void findPlacement(const Query &query, PlacementHandler handler);

    /** Records that an endpoint was unreachable or did not respond completely. It is not chosen for a short time. */
    void recordFailure(const std::string &endpoint);

    /** Returns whether @p endpoint is excluded because of a recent failure. */
    bool hasFailedRecently(const std::string &endpoint) const;
};

}
