#pragma once

#include "core/metrics.h"
#include "drivers/httplistener.h"

#include <string>

namespace citronspar
{

/** Serves a daemon's metrics as text on an address of its own. */
class MetricsServer
{
private:
    HttpListener m_listener;
    const Metrics &m_metrics;

public:
    MetricsServer(Loop &loop, const Metrics &metrics);

    /** Listens on @p address; false when the port can't be had. */
    bool open(const std::string &address);
};

}
