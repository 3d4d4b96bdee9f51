#include "main/feeds/operatorfeed.h"

#include "platform/configdecoder.h"
#include "platform/names.h"
#include "platform/rolloutcodec.h"

#include <utility>

namespace citronspar
{

namespace
{

// In this time after a restore the operators have written again what the copy lacks.
constexpr Duration rewriteTime = std::chrono::milliseconds(1000);

}

OperatorFeed::OperatorFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::PollSettings pollSettings)
    : m_log(log)
    , m_feed(loop, store, log, platform::names::operatorTable, pollSettings,
             StoreFeed::Handlers{[this](const std::vector<platform::StoreRow> &rows, bool) {
                                     applyRows(rows);
                                 },
                                 [this](const std::vector<platform::StoreRow> &rows) {
                                     applyRows(rows);
                                 },
                                 [this](TimePoint producedAt) {
                                     if (producedAt >= m_settledAt) {
                                         m_confirmedAt = std::max(m_confirmedAt, producedAt);
                                     }
                                 },
                                 [](TimePoint) {},
                                 [this](TimePoint now) {
                                     m_settledAt = now + rewriteTime;
                                 }})
{
}

void OperatorFeed::onConfig(ConfigHandler handler)
{
    m_configHandler = std::move(handler);
}

void OperatorFeed::onWeights(WeightsHandler handler)
{
    m_weightsHandler = std::move(handler);
}

void OperatorFeed::onOrder(OrderHandler handler)
{
    m_orderHandler = std::move(handler);
}

void OperatorFeed::start()
{
    m_startedAt = Loop::now();
    m_feed.start();
}

void OperatorFeed::applyRows(const std::vector<platform::StoreRow> &rows)
{
    for (const platform::StoreRow &row : rows) {
        if (row.isDeleted) {
            continue;
        }
        if (row.key == platform::names::configKey) {
            applyConfig(row);
        } else if (row.key.rfind(platform::names::weightsKeyPrefix, 0) == 0) {
            applyWeights(row);
        } else if (platform::isRolloutKey(row.key) && m_orderHandler) {
            applyOrder(row);
        }
    }
    passOrdersOn();
}

void OperatorFeed::applyConfig(const platform::StoreRow &row)
{
    platform::ConfigDecoder decoder;
    std::optional<TrafficConfig> config = decoder.decode(row.value);
    if (!config.has_value()) {
        m_log.write("config", "rejected malformed configuration", {{"row", std::to_string(row.version)}, {"reason", decoder.lastError()}});
        return;
    }
    if (m_config != nullptr && config->version <= m_config->version) {
        m_log.write("config", "configuration already known",
                    {{"row", std::to_string(row.version)},
                     {"version", std::to_string(config->version)},
                     {"known", std::to_string(m_config->version)}});
        return;
    }
    m_config = std::make_shared<const TrafficConfig>(std::move(*config));
    m_log.write("config", "configuration applied",
                {{"version", std::to_string(m_config->version)},
                 {"routes", std::to_string(m_config->routes.size())},
                 {"accounts", std::to_string(m_config->accounts.size())}});
    if (m_configHandler) {
        m_configHandler(*m_config);
    }
}

void OperatorFeed::applyWeights(const platform::StoreRow &row)
{
    const std::optional<platform::WantedWeights> wanted = platform::decodeWantedWeights(row.value);
    if (!wanted.has_value()) {
        m_log.write("weights", "ignored malformed entry", {{"row", std::to_string(row.version)}, {"key", row.key}});
        return;
    }
    WeightsVersion weights;
    weights.number = wanted->version;
    weights.followedSince = m_startedAt;
    weights.setAt = m_feed.changedAfter();
    if (!m_weights[wanted->model].record(weights)) {
        return;
    }
    m_log.write("weights", "wanted version changed",
                {{"model", wanted->model},
                 {"version", std::to_string(wanted->version)},
                 {"row", std::to_string(row.version)},
                 {"setAgeMs", weights.setAt == timeNever ? "unknown" : millisecondsText(Loop::now() - weights.setAt)}});
    if (m_weightsHandler) {
        m_weightsHandler(wanted->model, weights);
    }
}

void OperatorFeed::applyOrder(const platform::StoreRow &row)
{
    platform::RolloutOrderDecoder decoder;
    std::optional<RolloutOrder> order = decoder.decode(row.key, row.value);
    if (!order.has_value()) {
        m_log.write("rollouts", "rejected malformed order",
                    {{"row", std::to_string(row.version)}, {"key", row.key}, {"reason", decoder.lastError()}});
        return;
    }
    order->id = row.version;
    order->era = m_feed.era().value_or(0);
    const auto known = m_orders.find(order->service);
    if (known != m_orders.end() && known->second.order.id == order->id && known->second.order.era == order->era) {
        return;
    }
    m_orders[order->service] = KnownOrder{*order, false, false};
}

void OperatorFeed::passOrdersOn()
{
    if (m_config == nullptr || !m_orderHandler) {
        return;
    }
    for (std::pair<const std::string, KnownOrder> &entry : m_orders) {
        const RolloutOrder &order = entry.second.order;
        if (entry.second.isPassedOn) {
            continue;
        }
        if (m_config->services.count(order.service) == 0) {
            if (!std::exchange(entry.second.isLoggedAsUnknown, true)) {
                m_log.write("rollouts", "order of an unknown service",
                            {{"row", std::to_string(order.id)}, {"service", order.service}, {"to", order.to}});
            }
            continue;
        }
        entry.second.isPassedOn = true;
        m_log.write("rollouts", "order received",
                    {{"row", std::to_string(order.id)},
                     {"era", std::to_string(order.era)},
                     {"service", order.service},
                     {"to", order.to},
                     {"deadlineMs", millisecondsText(order.deadline)}});
        m_orderHandler(order);
    }
}

const std::shared_ptr<const TrafficConfig> &OperatorFeed::config() const
{
    return m_config;
}

const WeightsHistory &OperatorFeed::weights(const std::string &model) const
{
    static const WeightsHistory none;
    const auto found = m_weights.find(model);
    return found == m_weights.end() ? none : found->second;
}

TimePoint OperatorFeed::confirmedAt() const
{
    return m_confirmedAt;
}

}
