#include "servers/routingprediction.h"

#include "servers/rendezvous.h"

#include <algorithm>

namespace citronspar
{

std::vector<std::size_t> usableInRendezvousOrder(const RoutingRequest &request, const std::vector<EndpointView> &endpoints)
{
    std::vector<std::uint64_t> hashes;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (endpoints[i].canTakeWork) {
            hashes.push_back(endpoints[i].idHash);
            indices.push_back(i);
        }
    }
    std::vector<std::size_t> order = rendezvousOrder(request.affinity, hashes);
    for (std::size_t &index : order) {
        index = indices[index];
    }
    return order;
}

Duration predictedTimeToFirstToken(const RoutingRequest &request, const ProbeResult &answer, double recomputeWeight)
{
    const double uncachedTokens = static_cast<double>(std::max<std::int64_t>(request.promptTokens - answer.cachedTokens, 0));
    const double tokens = static_cast<double>(answer.queuedTokens) + uncachedTokens * (1 + recomputeWeight);
    return fromSeconds(tokens / answer.prefillTokensPerSecond);
}

std::optional<ProbeResult> bestAnswer(const RoutingRequest &request, const std::vector<ProbeResult> &answers, double recomputeWeight)
{
    std::optional<ProbeResult> best;
    for (const ProbeResult &answer : answers) {
        const bool isBetter = !best.has_value()
            || predictedTimeToFirstToken(request, answer, recomputeWeight) < predictedTimeToFirstToken(request, *best, recomputeWeight);
        if (answer.canTakeWork && isBetter) {
            best = answer;
        }
    }
    return best;
}

}
