#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace citronspar
{

/** Discrete-event scheduler with virtual time and a seeded random generator. Events run in the order of their times. */
class EventScheduler
{
private:
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random;

public:
    explicit EventScheduler(std::uint64_t seed)
        : m_random(seed)
    {
    }

    TimePoint now() const
    {
        return m_now;
    }

    void scheduleAfter(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    /** Runs all events that are due within @p duration and advances the virtual time by it. */
    void runFor(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto next = m_events.begin();
            const std::function<void()> event = std::move(next->second);
            m_now = next->first;
            m_events.erase(next);
            event();
        }
        m_now = end;
    }

    /** Returns a uniformly distributed number in the closed range from @p low to @p high. */
    std::int64_t randomInteger(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }

    Duration randomDuration(Duration low, Duration high)
    {
        return Duration(randomInteger(low.count(), high.count()));
    }

    bool randomBool(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }
};

}
