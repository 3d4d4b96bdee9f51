#pragma once

#include "core/time.h"

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
    TimePoint m_deadline{};

public:
    /**
     * @param setAt the earliest time at which the version can have been set; timeNever if unknown
     * @param receivedAt when this daemon received the version
     * @param limit the time from the setting of a version to its deadline
     */
    WeightsCutoff(TimePoint setAt, TimePoint receivedAt, Duration limit);

    /** Whether a request may be sent to older weights at @p now if its first token is predicted after @p predicted. */
    bool admits(Duration predicted, TimePoint now) const;

    /** When requests that have not begun on older weights are given up. */
    TimePoint abandonAt() const;
};

}
