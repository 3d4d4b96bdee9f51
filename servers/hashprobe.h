#pragma once

#include "servers/routingstrategy.h"

#include <deque>
#include <unordered_map>

namespace citronspar
{

/**
 * Probes the endpoint that last received the same prefix and the first
 * endpoints in rendezvous order. If the predicted time to first token at all of
 * these is too long, it probes the next endpoint in that order and others at
 * random.
 */
class HashProbe : public RoutingStrategy
{
private:
    RoutingSettings m_settings;
    std::unordered_map<std::uint64_t, std::size_t> m_placements;
    std::deque<std::uint64_t> m_placementOrder;

    void recordPlacement(std::uint64_t affinity, std::size_t endpoint);
    /** Returns the usable endpoints in rendezvous order, with the last placement of the same prefix first. */
    std::vector<std::size_t> probeOrder(const RoutingRequest &request, const std::vector<EndpointView> &endpoints) const;

public:
    explicit HashProbe(const RoutingSettings &settings);

    std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                        const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &answers,
                                        Random &random) override;
    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &answers) override;
};

}
