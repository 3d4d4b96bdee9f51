#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace citronspar
{

/**
 * Tracks requests that were in flight when an engine crashed, and blocks a
 * request for a limited time after @c maxCrashes crashes.
 */
class SuspectList
{
private:
    struct Suspect
    {
        /** Ids of the crashes. A crash counts once, however many copies of the request were in flight. */
        std::set<std::uint64_t> crashIds;
        TimePoint lastCrash{};
    };

    std::map<std::uint64_t, Suspect> m_suspects;
    std::size_t m_maxCrashes;
    Duration m_blockTime;
    std::size_t m_capacity;

    void expire(TimePoint now);

public:
    /**
     * @param maxCrashes the number of crashes after which a request is blocked
     * @param blockTime how long a request remains suspect or blocked after its last crash
     * @param capacity the number of tracked requests; if it is reached, the request whose last crash is the oldest is dropped
     */
    SuspectList(std::size_t maxCrashes, Duration blockTime, std::size_t capacity);

    /**
     * Records that an engine crashed while it ran the request with @p digest.
     * @param crashId identifies the crash, so that it counts once
     * @return the number of crashes counted for the request, at most maxCrashes
     */
    std::size_t addCrash(std::uint64_t digest, std::uint64_t crashId, TimePoint now);

    bool isBlocked(std::uint64_t digest, TimePoint now) const;

    /** Whether the request was in flight at a recent crash and should run without other requests beside it. */
    bool isSuspect(std::uint64_t digest, TimePoint now) const;
};

}
