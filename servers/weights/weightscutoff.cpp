#include "servers/weights/weightscutoff.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Predictions are about half of the true time under load.
constexpr int predictionFactor = 2;

// Reports that predictions are made from may be older than the queue that they describe.
constexpr Duration startMargin = std::chrono::milliseconds(1500);

// Covers the way of a cancellation to the engine.
constexpr Duration abandonMargin = std::chrono::milliseconds(300);

// A daemon that has started since can't know when the version was set. Less startMargin, this is shorter than the contact time,
// from which on a daemon that has started is bound by the limit.
constexpr Duration limitWithoutSetTime = std::chrono::milliseconds(4000);

}

WeightsCutoff::WeightsCutoff(const WeightsVersion &successor, Duration limit)
    : m_version(successor.number)
    , m_deadline(successor.setAt == timeNever ? successor.followedSince + std::min(limit, limitWithoutSetTime) : successor.setAt + limit)
{
}

std::int64_t WeightsCutoff::version() const
{
    return m_version;
}

TimePoint WeightsCutoff::deadline() const
{
    return m_deadline;
}

bool WeightsCutoff::admits(Duration predicted, TimePoint now) const
{
    return now + startMargin + predicted * predictionFactor < m_deadline;
}

TimePoint WeightsCutoff::abandonAt() const
{
    return m_deadline - abandonMargin;
}

}
