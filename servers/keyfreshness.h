#pragma once

#include "core/time.h"

#include <algorithm>

namespace citronspar
{

/**
 * Whether what is known of keys is new enough to run a request under one. A
 * proof counts from when its question left, on a clock that runs on while the
 * process is suspended.
 */
class KeyFreshness
{
private:
    /** The request still has to reach the endpoint. */
    static constexpr Duration sendMargin = std::chrono::milliseconds(600);

    Duration m_revocation;

public:
    /** @param revocation the time after which a withdrawn key may run nothing */
    explicit KeyFreshness(Duration revocation)
        : m_revocation(revocation)
    {
    }

    /** @param confirmedAt the earliest time at which the store can have made its last answer */
    bool mayRun(TimePoint confirmedAt, TimePoint now) const
    {
        return confirmedAt != timeNever && now - confirmedAt < std::max(m_revocation - sendMargin, Duration::zero());
    }
};

}
