#include "main/daemoncore.h"

#include <random>

namespace citronspar
{

namespace
{

constexpr std::size_t timelineCapacity = 20000;
constexpr Duration tableTimeout = std::chrono::milliseconds(1500);

std::int64_t randomIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t low = device();
    // Clears the sign bit: in the text form of an AttemptId, the only dash separates incarnation and counter.
    return static_cast<std::int64_t>(((high << 32U) | low) >> 1U);
}

}

DaemonCore::DaemonCore(const Settings &settings)
    : m_settings(settings)
    , m_http(m_loop)
    , m_table(m_http, parseSocketAddress(settings.table), tableTimeout)
    , m_timeline(timelineCapacity)
    , m_incarnation(randomIncarnation())
{
}

const Settings &DaemonCore::settings() const
{
    return m_settings;
}

Loop &DaemonCore::loop()
{
    return m_loop;
}

TimerService &DaemonCore::timers()
{
    return m_loop.timers();
}

HttpClient &DaemonCore::http()
{
    return m_http;
}

TableClient &DaemonCore::table()
{
    return m_table;
}

HybridClock &DaemonCore::clock()
{
    return m_clock;
}

const Timeline &DaemonCore::timeline() const
{
    return m_timeline;
}

Metrics &DaemonCore::metrics()
{
    return m_metrics;
}

std::int64_t DaemonCore::incarnation() const
{
    return m_incarnation;
}

AttemptId DaemonCore::nextId()
{
    return AttemptId{m_incarnation, ++m_lastCounter};
}

void DaemonCore::record(const std::string &component, const std::string &event, const std::string &request, const std::string &account)
{
    m_timeline.add(TimelineEvent{m_clock.tick(Loop::wallNow()), m_settings.daemon, component, event, request, account});
}

}
