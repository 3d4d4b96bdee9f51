#include "core/metrics.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[Metrics] The summary of a series has its count, mean and quantiles")
{
    Metrics metrics;
    for (int i = 1; i <= 1000; ++i) {
        metrics.addSample("x", static_cast<double>(i));
    }
    const SeriesSummary summary = metrics.summaries().at("x");
    CHECK(summary.count == 1000);
    CHECK(summary.mean == Approx(500.5));
    CHECK(summary.p95 == Approx(950).epsilon(0.02));
}

TEST_CASE("[Metrics] Counters and histograms are exported in the text format of Prometheus")
{
    Metrics metrics;
    metrics.increment("requests answered");
    metrics.addSample("first event", std::chrono::milliseconds(7));
    metrics.addSample("first event", std::chrono::seconds(20));
    const std::string text = metrics.prometheusText();
    CHECK(text.find("citronspar_requests_answered_total 1\n") != std::string::npos);
    CHECK(text.find("citronspar_first_event_ms_bucket{le=\"5\"} 0\n") != std::string::npos);
    CHECK(text.find("citronspar_first_event_ms_bucket{le=\"10\"} 1\n") != std::string::npos);
    CHECK(text.find("citronspar_first_event_ms_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("citronspar_first_event_ms_count 2\n") != std::string::npos);
}
