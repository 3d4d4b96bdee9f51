#include "servers/baselinestrategies.h"

#include "servers/routingprediction.h"

namespace citronspar
{

namespace
{

std::optional<std::size_t> leastLoaded(const std::vector<EndpointView> &endpoints)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const bool isBetter = !best.has_value() || endpoints[i].reportedTokens < endpoints[*best].reportedTokens;
        if (endpoints[i].canTakeWork && isBetter) {
            best = i;
        }
    }
    return best;
}

/** Base of the strategies that decide by the entry daemon's own state, without probes. */
class UnprobedStrategy : public RoutingStrategy
{
public:
    std::vector<std::size_t> nextProbes(const RoutingRequest &, const std::vector<EndpointView> &, const std::vector<std::size_t> &,
                                        const std::vector<ProbeResult> &, Random &) override
    {
        return {};
    }
};

class RoundRobin : public UnprobedStrategy
{
private:
    std::size_t m_last = 0;

public:
    std::optional<std::size_t> choose(const RoutingRequest &, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &) override
    {
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            m_last = (m_last + 1) % endpoints.size();
            if (endpoints[m_last].canTakeWork) {
                return m_last;
            }
        }
        return std::nullopt;
    }
};

class LeastLoaded : public UnprobedStrategy
{
public:
    std::optional<std::size_t> choose(const RoutingRequest &, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &) override
    {
        return leastLoaded(endpoints);
    }
};

class HashOnly : public UnprobedStrategy
{
public:
    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &) override
    {
        const std::vector<std::size_t> order = usableInRendezvousOrder(request, endpoints);
        return order.empty() ? std::nullopt : std::optional<std::size_t>(order.front());
    }
};

class HashBounded : public UnprobedStrategy
{
private:
    double m_loadBound;

public:
    explicit HashBounded(const RoutingSettings &settings)
        : m_loadBound(settings.loadBound)
    {
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &) override
    {
        const std::vector<std::size_t> order = usableInRendezvousOrder(request, endpoints);
        if (order.empty()) {
            return std::nullopt;
        }
        double total = static_cast<double>(request.promptTokens);
        for (const std::size_t index : order) {
            total += static_cast<double>(endpoints[index].reportedTokens);
        }
        const double bound = m_loadBound * total / static_cast<double>(order.size());
        for (const std::size_t index : order) {
            if (static_cast<double>(endpoints[index].reportedTokens) <= bound) {
                return index;
            }
        }
        return order.front();
    }
};

class GreedyFull : public RoutingStrategy
{
public:
    std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                        const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &, Random &) override
    {
        return probed.empty() ? usableInRendezvousOrder(request, endpoints) : std::vector<std::size_t>();
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &,
                                      const std::vector<ProbeResult> &answers) override
    {
        const std::optional<ProbeResult> best = bestAnswer(request, answers, 0);
        return best.has_value() ? std::optional<std::size_t>(best->endpoint) : std::nullopt;
    }
};

}

std::unique_ptr<RoutingStrategy> makeRoundRobin(const RoutingSettings &)
{
    return std::make_unique<RoundRobin>();
}

std::unique_ptr<RoutingStrategy> makeLeastLoaded(const RoutingSettings &)
{
    return std::make_unique<LeastLoaded>();
}

std::unique_ptr<RoutingStrategy> makeHashOnly(const RoutingSettings &)
{
    return std::make_unique<HashOnly>();
}

std::unique_ptr<RoutingStrategy> makeGreedyFull(const RoutingSettings &)
{
    return std::make_unique<GreedyFull>();
}

std::unique_ptr<RoutingStrategy> makeHashBounded(const RoutingSettings &settings)
{
    return std::make_unique<HashBounded>(settings);
}

}
