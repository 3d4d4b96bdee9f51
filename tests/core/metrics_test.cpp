#include "core/metrics.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[Metrics] Series give the quantiles of their samples")
{
    Metrics metrics;
    for (int i = 1; i <= 1000; ++i) {
        metrics.sample("x", static_cast<double>(i));
    }
    const SeriesSummary summary = metrics.summaries().at("x");
    CHECK(summary.count == 1000);
    CHECK(summary.mean == Approx(500.5));
    CHECK(summary.p95 == Approx(950).epsilon(0.02));
}
