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

/** The endpoint that was chosen for a model request, and what it said of itself. */
struct Placement
{
    std::string endpoint;
    std::string address;
    std::int64_t engineIncarnation = 0;
    std::string weights;
};

/** Finds the endpoint for a model request: names candidates, probes them, and chooses. */
class ProbeService
{
public:
    using PlaceHandler = std::function<void(const std::optional<Placement> &placement)>;

    struct Question
    {
        std::string account;
        std::string pool;
        PromptChain chain;
        std::set<std::string> excluded;
        /** When not empty, only endpoints with these weights count. */
        std::string weights;
    };

private:
    struct Round
    {
        RoutingRequest request;
        std::vector<const Endpoint *> endpoints;
        std::vector<EndpointView> views;
        std::string account;
        std::vector<std::int64_t> blocks;
        std::vector<std::size_t> probed;
        std::vector<ProbeResult> results;
        std::vector<wire::ProbeAnswer> answers;
        std::string wantedWeights;
        std::shared_ptr<const FleetState> state;
        PlaceHandler handler;
        TimerService::TimerId timer = 0;
    };

    struct KnownLoad
    {
        std::int64_t tokens = 0;
        TimePoint failedAt = timeNever;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    std::unique_ptr<RoutingStrategy> m_strategy;
    RoutingStrategy::Random m_random;
    std::map<std::int64_t, Round> m_rounds;
    std::map<std::string, KnownLoad> m_known;

    void handle(const MessageOrigin &origin, const wire::Body &body);
    void take(const MessageOrigin &origin, const wire::ProbeAnswer &answer);
    void probeNext(std::int64_t id);
    void finish(std::int64_t id);

public:
    ProbeService(DaemonCore &core, PeerLinks &links, ConfigService &config, std::unique_ptr<RoutingStrategy> strategy);

    /** Finds an endpoint; the handler is called once, possibly before this returns. */
    void place(const Question &question, PlaceHandler handler);

    /** An endpoint could not be reached; it is passed over for a short time. */
    void noteFailure(const std::string &endpoint);

    /** Whether @p endpoint failed a short time ago. */
    bool hasFailedLately(const std::string &endpoint) const;
};

}
