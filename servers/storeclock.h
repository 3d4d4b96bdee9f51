#pragma once

#include "core/time.h"

#include <optional>

namespace citronspar
{

/**
 * Tells when the store made an answer, in the time of this process, from the
 * steady clock that the store's answers bear. An answer can't be made before
 * its question left, so each exchange bounds the distance of the two clocks
 * from below; the largest bound is the tightest. An answer to a question that
 * waited at the store so proves what held at the end of the wait.
 */
class StoreClock
{
private:
    /** Bounds are renewed after this time: clocks that drift apart by 50 millionths then differ by 30 ms. */
    static constexpr Duration boundLifetime = std::chrono::minutes(10);
    static constexpr Duration shortExchangePeriod = std::chrono::minutes(4);

    std::optional<Duration> m_bound;
    std::optional<Duration> m_nextBound;
    TimePoint m_renewAt = timeNever;
    Duration m_lastStoreTime{};
    TimePoint m_lastShortExchange = timeNever;

public:
    /** Whether the next question should not wait at the store, so that its answer gives a tight bound. */
    bool needsShortExchange(TimePoint now) const;

    /** A question that does not wait leaves. */
    void noteShortExchange(TimePoint now);

    /**
     * Takes in an answer and returns the earliest time at which it can have been made.
     * @param storeTime the store's clock in the answer
     */
    TimePoint answeredAt(TimePoint askedAt, TimePoint receivedAt, Duration storeTime);
};

}
