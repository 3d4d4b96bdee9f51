#include "servers/hashprobe.h"

#include "servers/routingprediction.h"

#include <algorithm>
#include <iterator>

namespace citronspar
{

void HashProbe::recordPlacement(std::uint64_t affinity, std::size_t endpoint)
{
    if (!m_placements.insert_or_assign(affinity, endpoint).second) {
        return;
    }
    m_placementOrder.push_back(affinity);
    if (m_placementOrder.size() > m_settings.maxRecordedPlacements) {
        m_placements.erase(m_placementOrder.front());
        m_placementOrder.pop_front();
    }
}

std::vector<std::size_t> HashProbe::probeOrder(const RoutingRequest &request, const std::vector<EndpointView> &endpoints) const
{
    std::vector<std::size_t> order = usableInRendezvousOrder(request, endpoints);
    const auto placement = m_placements.find(request.affinity);
    const auto previous = placement == m_placements.end() ? order.end() : std::find(order.begin(), order.end(), placement->second);
    if (previous != order.end()) {
        std::rotate(order.begin(), previous, std::next(previous));
    }
    return order;
}

HashProbe::HashProbe(const RoutingSettings &settings)
    : m_settings(settings)
{
}

std::vector<std::size_t> HashProbe::nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                               const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &answers,
                                               Random &random)
{
    std::vector<std::size_t> order = probeOrder(request, endpoints);
    if (probed.empty()) {
        order.resize(std::min(order.size(), m_settings.firstProbes));
        return order;
    }
    const std::optional<ProbeResult> best = bestAnswer(request, answers, m_settings.recomputeWeight);
    const bool isGoodEnough = best.has_value() && predictedTimeToFirstToken(request, *best, 0) <= m_settings.probeMoreAbove;
    if (isGoodEnough || answers.empty() || probed.size() > m_settings.firstProbes) {
        return {};
    }
    std::vector<std::size_t> remaining;
    for (const std::size_t index : order) {
        if (std::find(probed.begin(), probed.end(), index) == probed.end()) {
            remaining.push_back(index);
        }
    }
    // The next endpoint in rendezvous order may have the prefix cached; the others are random, to find idle endpoints.
    if (remaining.size() > 1) {
        std::shuffle(std::next(remaining.begin()), remaining.end(), random);
    }
    remaining.resize(std::min(remaining.size(), m_settings.moreProbes));
    return remaining;
}

std::optional<std::size_t> HashProbe::choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                             const std::vector<ProbeResult> &answers)
{
    const std::optional<ProbeResult> best = bestAnswer(request, answers, m_settings.recomputeWeight);
    if (best.has_value()) {
        recordPlacement(request.affinity, best->endpoint);
        return best->endpoint;
    }
    if (!answers.empty()) {
        return std::nullopt;
    }
    // No probe was answered in time, so fall back to the first endpoint in probe order.
    const std::vector<std::size_t> order = probeOrder(request, endpoints);
    return order.empty() ? std::nullopt : std::optional<std::size_t>(order.front());
}

}
