#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

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
        /** Each crash once, however many copies of the request it took down. */
        std::set<std::uint64_t> crashes;
        TimePoint lastCrash{};
    };

    std::map<std::uint64_t, Suspect> m_suspects;
    std::size_t m_maxCrashes;
    Duration m_blockTime;
    std::size_t m_capacity;

    void expire(TimePoint now);

public:
    SuspectList(std::size_t maxCrashes, Duration blockTime, std::size_t capacity);

    /**
     * An engine crashed while it ran the request with @p digest.
     * @param crash names the crash, so that it counts once
     * @return the crashes counted so far
     */
    std::size_t addCrash(std::uint64_t digest, std::uint64_t crash, TimePoint now);

    bool isBlocked(std::uint64_t digest, TimePoint now) const;

    /** Whether a crash was counted, so that the request should run alone. */
    bool isSuspect(std::uint64_t digest, TimePoint now) const;
};

}
