#pragma once

#include "core/time.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace citronspar
{

/** Statistics of a series, in the unit of its samples. */
struct SeriesSummary
{
    std::uint64_t count = 0;
    double mean = 0;
    double max = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/** A cumulative histogram: the number of samples less than or equal to each bound. */
struct Histogram
{
    /** The upper bounds in the unit of the samples, which is milliseconds for durations. */
    static constexpr std::array<double, 11> bounds = {5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};

    std::array<std::uint64_t, bounds.size()> counts{};
    std::uint64_t count = 0;
    double sum = 0;
};

/** Counters and series of one daemon, by name. Memory use does not depend on the number of samples. */
class Metrics
{
private:
    using Series = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean, boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, Series> m_series;
    std::map<std::string, Histogram> m_histograms;

public:
    /** Increments the counter @p name. */
    void increment(const std::string &name);

    /** Adds a sample to the series @p name. */
    void addSample(const std::string &name, double value);

    /** Adds @p duration, in milliseconds, to the series @p name. */
    void addSample(const std::string &name, Duration duration);

    const std::map<std::string, std::uint64_t> &counters() const;

    /** All counters and histograms in the text exposition format of Prometheus, version 0.0.4. */
    std::string prometheusText() const;

    /** The summaries of all series, by name. */
    std::map<std::string, SeriesSummary> summaries() const;
};

}
