#include "servers/routingstrategy.h"

#include "servers/rendezvous.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <unordered_map>

namespace citronspar
{

const char *const defaultRoutingStrategy = "hash-probe";

namespace
{

std::vector<std::size_t> usableByHash(const RoutingRequest &request, const std::vector<EndpointView> &endpoints)
{
    std::vector<std::uint64_t> hashes;
    std::vector<std::size_t> places;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (endpoints[i].canTakeWork) {
            hashes.push_back(endpoints[i].idHash);
            places.push_back(i);
        }
    }
    std::vector<std::size_t> order = rendezvousOrder(request.affinity, hashes);
    for (std::size_t &place : order) {
        place = places[place];
    }
    return order;
}

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

/**
 * The predicted time to the first token: what is queued, then the missing part of the prompt.
 * @param recomputeWeight what the missing part counts for besides
 */
Duration predictedWait(const RoutingRequest &request, const ProbeResult &answer, double recomputeWeight)
{
    const double missing = static_cast<double>(std::max<std::int64_t>(request.promptTokens - answer.cachedTokens, 0));
    const double tokens = static_cast<double>(answer.queuedTokens) + missing * (1 + recomputeWeight);
    return fromSeconds(tokens / answer.prefillTokensPerSecond);
}

/** The answer with the least predicted wait among those that can take work. */
std::optional<ProbeResult> bestAnswer(const RoutingRequest &request, const std::vector<ProbeResult> &answers, double recomputeWeight)
{
    std::optional<ProbeResult> best;
    for (const ProbeResult &answer : answers) {
        const bool isBetter
            = !best.has_value() || predictedWait(request, answer, recomputeWeight) < predictedWait(request, *best, recomputeWeight);
        if (answer.canTakeWork && isBetter) {
            best = answer;
        }
    }
    return best;
}

/** Strategies that decide by what the entry daemon knows, without probes. */
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
        const std::vector<std::size_t> order = usableByHash(request, endpoints);
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
        const std::vector<std::size_t> order = usableByHash(request, endpoints);
        if (order.empty()) {
            return std::nullopt;
        }
        double total = static_cast<double>(request.promptTokens);
        for (const std::size_t place : order) {
            total += static_cast<double>(endpoints[place].reportedTokens);
        }
        const double bound = m_loadBound * total / static_cast<double>(order.size());
        for (const std::size_t place : order) {
            if (static_cast<double>(endpoints[place].reportedTokens) <= bound) {
                return place;
            }
        }
        return order.front();
    }
};

/**
 * Probes the last placement of the same prefix and the first endpoints by
 * hash. Only when all of these would keep the request waiting does it probe
 * more: the next ones by hash and others at random.
 */
class HashProbe : public RoutingStrategy
{
private:
    RoutingSettings m_settings;
    std::unordered_map<std::uint64_t, std::size_t> m_placements;
    std::deque<std::uint64_t> m_placementOrder;

    void remember(std::uint64_t affinity, std::size_t endpoint)
    {
        if (!m_placements.insert_or_assign(affinity, endpoint).second) {
            return;
        }
        m_placementOrder.push_back(affinity);
        if (m_placementOrder.size() > m_settings.rememberedPlacements) {
            m_placements.erase(m_placementOrder.front());
            m_placementOrder.pop_front();
        }
    }

    /** The endpoints in the order in which they are probed. */
    std::vector<std::size_t> probeOrder(const RoutingRequest &request, const std::vector<EndpointView> &endpoints) const
    {
        std::vector<std::size_t> order = usableByHash(request, endpoints);
        const auto placement = m_placements.find(request.affinity);
        const auto place = placement == m_placements.end() ? order.end() : std::find(order.begin(), order.end(), placement->second);
        if (place != order.end()) {
            std::rotate(order.begin(), place, std::next(place));
        }
        return order;
    }

public:
    explicit HashProbe(const RoutingSettings &settings)
        : m_settings(settings)
    {
    }

    std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                        const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &answers,
                                        Random &random) override
    {
        std::vector<std::size_t> order = probeOrder(request, endpoints);
        if (probed.empty()) {
            order.resize(std::min(order.size(), m_settings.firstProbes));
            return order;
        }
        const std::optional<ProbeResult> best = bestAnswer(request, answers, m_settings.recomputeWeight);
        const bool isGoodEnough = best.has_value() && predictedWait(request, *best, 0) <= m_settings.probeMoreAbove;
        if (isGoodEnough || answers.empty() || probed.size() > m_settings.firstProbes) {
            return {};
        }
        std::vector<std::size_t> rest;
        for (const std::size_t place : order) {
            if (std::find(probed.begin(), probed.end(), place) == probed.end()) {
                rest.push_back(place);
            }
        }
        // The next one by hash may hold a copy; the others are drawn, so that idle endpoints are found.
        if (rest.size() > 1) {
            std::shuffle(std::next(rest.begin()), rest.end(), random);
        }
        rest.resize(std::min(rest.size(), m_settings.moreProbes));
        return rest;
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<ProbeResult> &answers) override
    {
        const std::optional<ProbeResult> best = bestAnswer(request, answers, m_settings.recomputeWeight);
        if (best.has_value()) {
            remember(request.affinity, best->endpoint);
            return best->endpoint;
        }
        if (!answers.empty()) {
            return std::nullopt;
        }
        // No answer in time: the order is the best guess.
        const std::vector<std::size_t> order = probeOrder(request, endpoints);
        return order.empty() ? std::nullopt : std::optional<std::size_t>(order.front());
    }
};

/** Probes every endpoint and takes the least predicted wait: a reference, too costly for use. */
class GreedyFull : public RoutingStrategy
{
public:
    std::vector<std::size_t> nextProbes(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                        const std::vector<std::size_t> &probed, const std::vector<ProbeResult> &, Random &) override
    {
        return probed.empty() ? usableByHash(request, endpoints) : std::vector<std::size_t>();
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &,
                                      const std::vector<ProbeResult> &answers) override
    {
        const std::optional<ProbeResult> best = bestAnswer(request, answers, 0);
        return best.has_value() ? std::optional<std::size_t>(best->endpoint) : std::nullopt;
    }
};

struct StrategyEntry
{
    const char *name;
    std::unique_ptr<RoutingStrategy> (*make)(const RoutingSettings &settings);
};

const std::array<StrategyEntry, 6> strategies = {{
    {"round-robin",
     [](const RoutingSettings &) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<RoundRobin>();
     }},
    {"least-loaded",
     [](const RoutingSettings &) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<LeastLoaded>();
     }},
    {"hash-only",
     [](const RoutingSettings &) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<HashOnly>();
     }},
    {"hash-bounded",
     [](const RoutingSettings &settings) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<HashBounded>(settings);
     }},
    {"hash-probe",
     [](const RoutingSettings &settings) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<HashProbe>(settings);
     }},
    {"greedy-full",
     [](const RoutingSettings &) -> std::unique_ptr<RoutingStrategy> {
         return std::make_unique<GreedyFull>();
     }},
}};

}

std::vector<std::string> routingStrategyNames()
{
    std::vector<std::string> names;
    for (const StrategyEntry &entry : strategies) {
        names.emplace_back(entry.name);
    }
    return names;
}

std::unique_ptr<RoutingStrategy> makeRoutingStrategy(const std::string &name, const RoutingSettings &settings)
{
    for (const StrategyEntry &entry : strategies) {
        if (name == entry.name) {
            return entry.make(settings);
        }
    }
    return nullptr;
}

}
