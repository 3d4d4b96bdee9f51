#pragma once

#include "servers/weights/weightshistory.h"

namespace citronspar
{

/**
 * The deadline after which no request may begin on an engine with older weights,
 * counted from the time at which the operators set a new version. A request
 * waits in the engine's queue before it begins, so it is sent to older weights
 * only if it is expected to begin well before the deadline, and given up if it
 * has not begun shortly before it.
 */
class WeightsCutoff
{
private:
    std::int64_t m_version = 0;
    TimePoint m_deadline{};

public:
    /**
     * @param successor the version that outdates the older weights
     * @param limit the time from the setting of a version to its deadline
     */
    WeightsCutoff(const WeightsVersion &successor, Duration limit);

    /** The version that outdates the older weights. */
    std::int64_t version() const;

    /** When the last request may begin on older weights. */
    TimePoint deadline() const;

    /** Whether a request may be sent to older weights at @p now if its first token is predicted after @p predicted. */
    bool admits(Duration predicted, TimePoint now) const;

    /** When requests that have not begun on older weights are given up. */
    TimePoint abandonAt() const;
};

}
