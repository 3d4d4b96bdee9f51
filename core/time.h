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

/** Converts @p seconds to the resolution of Duration, rounded towards zero. */
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
