#pragma once

#include <chrono>
#include <cstdint>

namespace citronspar
{

/**
 * The clock type of all time points that decisions use. The clock is monotonic
 * and does not stop while the process is paused. Only the drivers read it; all
 * other code gets the current time as a parameter.
 */
struct MonotonicClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    // The name is required by the Clock requirements of the C++ standard.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using Duration = std::chrono::microseconds;
using TimePoint = MonotonicClock::time_point;

/** The earliest representable time; means "never". */
constexpr TimePoint timeNever = TimePoint::min();

/** Converts @p duration to fractional seconds. */
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** The longest time that fromSeconds() returns: a century. */
constexpr Duration maxDuration = std::chrono::hours(24 * 36525);

/** Converts @p seconds to the resolution of Duration, rounded towards zero and limited to maxDuration; zero if it is not a number. */
constexpr Duration fromSeconds(double seconds)
{
    const std::chrono::duration<double> limit = maxDuration;
    const std::chrono::duration<double> time(seconds);
    if (time >= limit || time <= -limit) {
        return time >= limit ? maxDuration : -maxDuration;
    }
    // Not a number compares unequal to itself.
    return seconds == seconds ? std::chrono::duration_cast<Duration>(time) : Duration::zero();
}

}
