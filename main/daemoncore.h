#pragma once

#include "core/attemptid.h"
#include "core/metrics.h"
#include "core/timeline.h"
#include "drivers/httpclient.h"
#include "drivers/loop.h"
#include "drivers/tableclient.h"
#include "main/settings.h"

#include <string>

namespace citronspar
{

/** Resources shared by all services of a daemon: event loop, clients, clock, timeline and metrics. */
class DaemonCore
{
private:
    Settings m_settings;
    Loop m_loop;
    HttpClient m_http;
    TableClient m_table;
    HybridClock m_clock;
    Timeline m_timeline;
    Metrics m_metrics;
    std::int64_t m_incarnation;
    std::int64_t m_lastCounter = 0;

public:
    explicit DaemonCore(const Settings &settings);

    const Settings &settings() const;
    Loop &loop();
    TimerService &timers();
    HttpClient &http();
    TableClient &table();
    HybridClock &clock();
    const Timeline &timeline() const;
    Metrics &metrics();

    /** Random number that identifies this run of the process. */
    std::int64_t incarnation() const;

    /** Returns an id that is unique among all attempts, queries and reservations of the fleet. */
    AttemptId nextId();

    /** Adds an event to the timeline, stamped with the hybrid clock. */
    void record(const std::string &component, const std::string &event, const std::string &request = std::string(),
                const std::string &account = std::string());
};

}
