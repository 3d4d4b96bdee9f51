#include "servers/retryadvice.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Without an expected wait, callers return within the time in which other entry daemons notice a change.
constexpr Duration minWait = std::chrono::milliseconds(150);
constexpr Duration minSpread = std::chrono::milliseconds(350);

// With it, the spread is this part of the wait.
constexpr int spreadDivisor = 2;

// Callers do not wait longer than this part of the time that they have left.
constexpr int remainingDivisor = 3;

constexpr std::uint64_t hashSteps = 1000;

}

Duration RetryAdvice::retryAfter(Duration expectedWait, Duration remaining, std::uint64_t hash)
{
    const Duration wait = std::max(expectedWait, minWait);
    const Duration spread = std::max(expectedWait / spreadDivisor, minSpread);
    const Duration chosen = wait + spread * static_cast<std::int64_t>(hash % hashSteps) / static_cast<std::int64_t>(hashSteps);
    return std::clamp(chosen, Duration::zero(), std::max(remaining / remainingDivisor, Duration::zero()));
}

}
