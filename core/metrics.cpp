#include "core/metrics.h"

#include <cctype>

namespace citronspar
{

namespace
{

constexpr std::array<double, 3> reportedQuantiles = {0.5, 0.95, 0.99};

/** The Prometheus name of a metric: adds the prefix and replaces invalid characters in @p name with underscores. */
std::string metricName(const std::string &name)
{
    std::string result = "citronspar_";
    for (const char character : name) {
        result += std::isalnum(static_cast<unsigned char>(character)) != 0 ? character : '_';
    }
    return result;
}

}

void Metrics::increment(const std::string &name)
{
    ++m_counters[name];
}

void Metrics::addSample(const std::string &name, double value)
{
    Histogram &histogram = m_histograms[name];
    for (std::size_t i = 0; i < Histogram::bounds.size(); ++i) {
        histogram.counts[i] += value <= Histogram::bounds[i] ? 1 : 0;
    }
    ++histogram.count;
    histogram.sum += value;
    const auto found = m_series.find(name);
    if (found != m_series.end()) {
        found->second(value);
        return;
    }
    Series series(boost::accumulators::tag::extended_p_square_quantile::probabilities = reportedQuantiles);
    series(value);
    m_series.emplace(name, series);
}

void Metrics::addSample(const std::string &name, Duration duration)
{
    addSample(name, std::chrono::duration<double, std::milli>(duration).count());
}

const std::map<std::string, std::uint64_t> &Metrics::counters() const
{
    return m_counters;
}

std::string Metrics::prometheusText() const
{
    std::ostringstream text;
    for (const std::pair<const std::string, std::uint64_t> &entry : m_counters) {
        const std::string name = metricName(entry.first) + "_total";
        text << "# TYPE " << name << " counter\n" << name << ' ' << entry.second << '\n';
    }
    for (const std::pair<const std::string, Histogram> &entry : m_histograms) {
        const std::string name = metricName(entry.first) + "_ms";
        text << "# TYPE " << name << " histogram\n";
        for (std::size_t i = 0; i < Histogram::bounds.size(); ++i) {
            text << name << "_bucket{le=\"" << Histogram::bounds[i] << "\"} " << entry.second.counts[i] << '\n';
        }
        text << name << "_bucket{le=\"+Inf\"} " << entry.second.count << '\n';
        text << name << "_sum " << entry.second.sum << '\n' << name << "_count " << entry.second.count << '\n';
    }
    return text.str();
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
