#include "servers/routingstrategy.h"

#include "servers/rendezvous.h"

#include <algorithm>
#include <array>

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

/** The predicted time to the first token: what is queued, then the missing part of the prompt. */
Duration predictedWait(const RoutingRequest &request, const ProbeResult &answer)
{
    const std::int64_t missing = std::max<std::int64_t>(request.promptTokens - answer.cachedTokens, 0);
    return fromSeconds(static_cast<double>(answer.queuedTokens + missing) / answer.prefillTokensPerSecond);
}

/** Strategies that decide by what the entry daemon knows, without probes. */
class UnprobedStrategy : public RoutingStrategy
{
public:
    std::vector<std::size_t> candidates(const RoutingRequest &, const std::vector<EndpointView> &, Random &) override
    {
        return {};
    }
};

class RoundRobin : public UnprobedStrategy
{
private:
    std::size_t m_last = 0;

public:
    std::optional<std::size_t> choose(const RoutingRequest &, const std::vector<EndpointView> &endpoints, const std::vector<std::size_t> &,
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
    std::optional<std::size_t> choose(const RoutingRequest &, const std::vector<EndpointView> &endpoints, const std::vector<std::size_t> &,
                                      const std::vector<ProbeResult> &) override
    {
        return leastLoaded(endpoints);
    }
};

class HashOnly : public UnprobedStrategy
{
public:
    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<std::size_t> &, const std::vector<ProbeResult> &) override
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
                                      const std::vector<std::size_t> &, const std::vector<ProbeResult> &) override
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

class HashProbe : public RoutingStrategy
{
private:
    RoutingSettings m_settings;

public:
    explicit HashProbe(const RoutingSettings &settings)
        : m_settings(settings)
    {
    }

    std::vector<std::size_t> candidates(const RoutingRequest &request, const std::vector<EndpointView> &endpoints, Random &random) override
    {
        std::vector<std::size_t> order = usableByHash(request, endpoints);
        const std::size_t byHash = std::min(m_settings.hashCandidates, order.size());
        for (std::size_t i = 0; i < m_settings.loadCandidates && byHash + i < order.size(); ++i) {
            std::uniform_int_distribution<std::size_t> pick(byHash + i, order.size() - 1);
            std::swap(order[byHash + i], order[pick(random)]);
        }
        order.resize(std::min(order.size(), byHash + m_settings.loadCandidates));
        return order;
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &endpoints,
                                      const std::vector<std::size_t> &candidates, const std::vector<ProbeResult> &answers) override
    {
        std::optional<std::size_t> best;
        Duration bestWait = Duration::max();
        for (const ProbeResult &answer : answers) {
            if (!answer.canTakeWork) {
                continue;
            }
            const auto place = std::find(candidates.begin(), candidates.end(), answer.endpoint);
            const Duration wait = predictedWait(request, answer) + m_settings.hashBias * (place - candidates.begin());
            if (wait < bestWait) {
                best = answer.endpoint;
                bestWait = wait;
            }
        }
        if (best.has_value() || !answers.empty()) {
            return best;
        }
        // No answer in time: the hash order is the best guess.
        const std::vector<std::size_t> order = usableByHash(request, endpoints);
        return order.empty() ? std::nullopt : std::optional<std::size_t>(order.front());
    }
};

/** Probes every endpoint and takes the least predicted wait: a reference, too costly for use. */
class GreedyFull : public RoutingStrategy
{
public:
    std::vector<std::size_t> candidates(const RoutingRequest &request, const std::vector<EndpointView> &endpoints, Random &) override
    {
        return usableByHash(request, endpoints);
    }

    std::optional<std::size_t> choose(const RoutingRequest &request, const std::vector<EndpointView> &, const std::vector<std::size_t> &,
                                      const std::vector<ProbeResult> &answers) override
    {
        std::optional<std::size_t> best;
        Duration bestWait = Duration::max();
        for (const ProbeResult &answer : answers) {
            const Duration wait = predictedWait(request, answer);
            if (answer.canTakeWork && wait < bestWait) {
                best = answer.endpoint;
                bestWait = wait;
            }
        }
        return best;
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
