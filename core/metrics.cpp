#include "core/metrics.h"

#include <array>

namespace citronspar
{

namespace
{

constexpr std::array<double, 3> reportedQuantiles = {0.5, 0.95, 0.99};

}

void Metrics::count(const std::string &name)
{
    ++m_counters[name];
}

void Metrics::sample(const std::string &name, double value)
{
    const auto found = m_series.find(name);
    if (found != m_series.end()) {
        found->second(value);
        return;
    }
    Series series(boost::accumulators::tag::extended_p_square_quantile::probabilities = reportedQuantiles);
    series(value);
    m_series.emplace(name, series);
}

void Metrics::sample(const std::string &name, Duration duration)
{
    sample(name, std::chrono::duration<double, std::milli>(duration).count());
}

const std::map<std::string, std::uint64_t> &Metrics::counters() const
{
    return m_counters;
}

std::map<std::string, SeriesSummary> Metrics::summaries() const
{
    namespace acc = boost::accumulators;
    std::map<std::string, SeriesSummary> result;
    for (const std::pair<const std::string, Series> &entry : m_series) {
        SeriesSummary summary;
        summary.count = acc::count(entry.second);
        summary.mean = acc::mean(entry.second);
        summary.max = acc::max(entry.second);
        summary.p50 = acc::quantile(entry.second, acc::quantile_probability = 0.5);
        summary.p95 = acc::quantile(entry.second, acc::quantile_probability = 0.95);
        summary.p99 = acc::quantile(entry.second, acc::quantile_probability = 0.99);
        result[entry.first] = summary;
    }
    return result;
}

}
