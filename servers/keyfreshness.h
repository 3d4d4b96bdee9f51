#pragma once

#include "core/time.h"

#include <algorithm>

namespace citronspar
{

/**
 * Decides whether the local copy of the API keys is recent enough to accept a
 * request. The age of the copy counts from the earliest time at which the store
 * can have produced its answer, not from the receipt of the answer, on a clock
 * that does not stop while the process is suspended.
 */
class KeyFreshness
{
private:
    /** Time reserved for sending the request to the endpoint. */
    static constexpr Duration sendMargin = std::chrono::milliseconds(600);

    Duration m_revocation;

public:
    /** @param revocation the maximum time for which a revoked key may still be accepted */
    explicit KeyFreshness(Duration revocation)
        : m_revocation(revocation)
    {
    }

    /** @param confirmedAt the earliest time at which the store can have produced its last answer */
    bool isFresh(TimePoint confirmedAt, TimePoint now) const
    {
        return confirmedAt != timeNever && now - confirmedAt < std::max(m_revocation - sendMargin, Duration::zero());
    }
};

}
