#include "servers/rollouts/rollout.h"

#include <algorithm>

namespace citronspar
{

std::vector<std::string> versionsInUse(const RolloutRow &row)
{
    if (row.phase == RolloutPhase::Completed) {
        return {row.to};
    }
    std::vector<std::string> versions = row.from;
    if (row.phase == RolloutPhase::Closing && std::find(versions.begin(), versions.end(), row.to) == versions.end()) {
        versions.push_back(row.to);
    }
    return versions;
}

std::size_t VersionCounts::timeClass(Duration time)
{
    double bound = static_cast<double>(shortestTime.count());
    std::size_t result = 0;
    while (result + 1 < timeClasses && static_cast<double>(time.count()) > bound) {
        bound *= timeClassFactor;
        ++result;
    }
    return result;
}

}
