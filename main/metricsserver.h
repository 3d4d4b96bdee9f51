#pragma once

#include "core/metrics.h"
#include "drivers/httplistener.h"

#include <string>

namespace citronspar
{

/** Serves the metrics of a daemon in the Prometheus text format on a separate address. */
class MetricsServer
{
private:
    HttpListener m_listener;
    const Metrics &m_metrics;

public:
    MetricsServer(Loop &loop, const Metrics &metrics);

    /** Starts listening on @p address. Returns false if the port can't be bound. */
    bool open(const std::string &address);
};

}
