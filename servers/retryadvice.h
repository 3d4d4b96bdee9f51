#pragma once

#include "core/time.h"

#include <cstdint>

namespace citronspar
{

/**
 * Chooses the time after which the caller of a refused request should return.
 * In a burst, hundreds of requests are refused within a second. They return when
 * the backlog that they were refused for has drained, spread over a time in
 * proportion, so that they neither meet the same backlog again nor all arrive at once.
 */
class RetryAdvice
{
public:
    /**
     * @param expectedWait when the request is expected to be admitted; zero if unknown
     * @param remaining the time left until the caller gives up; callers return after at most a third of it
     * @param hash of the request; spreads the callers
     */
    static Duration retryAfter(Duration expectedWait, Duration remaining, std::uint64_t hash);
};

}
