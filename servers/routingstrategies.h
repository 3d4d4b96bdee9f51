#pragma once

#include "servers/routingstrategy.h"

#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** Returns the names of all strategies, in the order of the benchmark's table. */
std::vector<std::string> routingStrategyNames();

/** Creates the strategy called @p name. Returns nullptr if there is none. */
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(const std::string &name, const RoutingSettings &settings);

/** The name of the strategy used by the daemon. */
extern const char *const defaultRoutingStrategy;

}
