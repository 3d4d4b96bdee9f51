#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace citronspar
{

/**
 * Remembers the requests that were in flight when an engine crashed. After
 * the second crash a request is blocked for a time.
 */
class SuspectList
{
private:
    struct Suspect
    {
        int crashes = 0;
        TimePoint lastCrash{};
    };

    std::map<std::uint64_t, Suspect> m_suspects;
    int m_maxCrashes;
    Duration m_blockTime;
    std::size_t m_capacity;

    void expire(TimePoint now);

public:
    SuspectList(int maxCrashes, Duration blockTime, std::size_t capacity);

    /** An engine crashed while it ran the request with @p digest; returns the crashes counted so far. */
    int addCrash(std::uint64_t digest, TimePoint now);

    /** A peer counted @p crashes; the higher count holds. */
    void learn(std::uint64_t digest, int crashes, TimePoint now);

    bool isBlocked(std::uint64_t digest, TimePoint now) const;

    /** Whether a crash was counted, so that the request should run alone. */
    bool isSuspect(std::uint64_t digest, TimePoint now) const;
};

}
