#include "servers/routingstrategies.h"

#include "servers/baselinestrategies.h"
#include "servers/hashprobe.h"

#include <array>

namespace citronspar
{

const char *const defaultRoutingStrategy = "hash-probe";

namespace
{

std::unique_ptr<RoutingStrategy> makeHashProbe(const RoutingSettings &settings)
{
    return std::make_unique<HashProbe>(settings);
}

struct StrategyEntry
{
    const char *name;
    std::unique_ptr<RoutingStrategy> (*make)(const RoutingSettings &settings);
};

const std::array<StrategyEntry, 6> strategies = {{
    {"round-robin", makeRoundRobin},
    {"least-loaded", makeLeastLoaded},
    {"hash-only", makeHashOnly},
    {"hash-bounded", makeHashBounded},
    {"hash-probe", makeHashProbe},
    {"greedy-full", makeGreedyFull},
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
