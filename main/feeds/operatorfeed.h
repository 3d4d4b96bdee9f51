#pragma once

#include "main/feeds/storefeed.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronspar
{

/** What the operators want: the newest configuration and the weights that they name. */
class OperatorFeed
{
public:
    struct NamedWeightsState
    {
        std::int64_t version = 0;
        /** When this daemon learnt of it. */
        TimePoint learntAt{};
    };

    using ConfigHandler = std::function<void(const TrafficConfig &config)>;
    using WeightsHandler = std::function<void(const std::string &model, std::int64_t version)>;

private:
    DecisionLog &m_log;
    StoreFeed m_feed;
    std::shared_ptr<const TrafficConfig> m_config;
    std::map<std::string, NamedWeightsState> m_weights;
    TimePoint m_confirmedAt = timeNever;
    ConfigHandler m_configHandler;
    WeightsHandler m_weightsHandler;

    void take(const std::vector<platform::StoreRow> &rows);
    void takeConfig(const platform::StoreRow &row);
    void takeWeights(const platform::StoreRow &row);

public:
    OperatorFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::Pace pace);

    void onConfig(ConfigHandler handler);
    void onWeights(WeightsHandler handler);
    void start();

    /** The newest configuration; nullptr before the first. It never goes back. */
    const std::shared_ptr<const TrafficConfig> &config() const;

    /** The weights named for @p model; version 0 when none are. */
    NamedWeightsState namedWeights(const std::string &model) const;

    /** The earliest time at which the store can have made its last answer; timeNever before the first. */
    TimePoint confirmedAt() const;
};

}
