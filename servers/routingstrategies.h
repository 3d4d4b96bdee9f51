#pragma once

#include "servers/routingstrategy.h"

#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** Names of all strategies, in the order of the bench's table. */
std::vector<std::string> routingStrategyNames();

/** The strategy called @p name; null when there is none. */
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(const std::string &name, const RoutingSettings &settings);

/** The name of the strategy that the daemon uses. */
extern const char *const defaultRoutingStrategy;

}
