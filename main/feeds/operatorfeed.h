#pragma once

#include "main/feeds/storefeed.h"
#include "servers/rollouts/rollout.h"
#include "servers/trafficconfig.h"
#include "servers/weights/weightshistory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronspar
{

/** Mirrors the operators' table of the platform's store: the traffic configuration and the weights version set for each model. */
class OperatorFeed
{
public:
    using ConfigHandler = std::function<void(const TrafficConfig &config)>;
    using WeightsHandler = std::function<void(const std::string &model, const WeightsVersion &weights)>;
    using OrderHandler = std::function<void(const RolloutOrder &order)>;

private:
    struct KnownOrder
    {
        RolloutOrder order;
        bool isPassedOn = false;
        /** Whether it was logged that no configuration names the service. */
        bool isLoggedAsUnknown = false;
    };

    DecisionLog &m_log;
    StoreFeed m_feed;
    std::shared_ptr<const TrafficConfig> m_config;
    std::map<std::string, WeightsHistory> m_weights;
    TimePoint m_startedAt = timeNever;
    TimePoint m_confirmedAt = timeNever;
    /** Responses that the store has produced before do not confirm the configuration. */
    TimePoint m_settledAt = timeNever;
    ConfigHandler m_configHandler;
    WeightsHandler m_weightsHandler;
    OrderHandler m_orderHandler;
    /** The newest valid order of each service. */
    std::map<std::string, KnownOrder> m_orders;

    void applyRows(const std::vector<platform::StoreRow> &rows);
    void applyConfig(const platform::StoreRow &row);
    void applyWeights(const platform::StoreRow &row);
    void applyOrder(const platform::StoreRow &row);
    /** Passes on the orders whose services the configuration names. */
    void passOrdersOn();

public:
    OperatorFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::PollSettings pollSettings);

    void onConfig(ConfigHandler handler);
    void onWeights(WeightsHandler handler);
    /**
     * Sets the handler that is called with each new or changed order to roll out a software version, once a configuration
     * names its service. Orders are not read without a handler.
     */
    void onOrder(OrderHandler handler);
    void start();

    /** Returns the newest configuration, or nullptr before the first one. Its version never decreases. */
    const std::shared_ptr<const TrafficConfig> &config() const;

    /** Returns the weights versions that the operators have set for @p model. */
    const WeightsHistory &weights(const std::string &model) const;

    /**
     * The earliest time at which the store can have produced the last response that shows the newest configuration; timeNever
     * before the first one. After the store has come back from an older copy, responses do not show it until the operators
     * have had time to write again what the copy lacks.
     */
    TimePoint confirmedAt() const;
};

}
