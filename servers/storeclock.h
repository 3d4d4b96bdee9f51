#pragma once

#include "core/time.h"

#include <optional>

namespace citronspar
{

/**
 * Converts the store's steady clock, which its answers carry, to the clock of
 * this process. An answer can't have been created before its request was sent,
 * so each exchange gives a lower bound of the offset between the two clocks; the
 * largest bound is the tightest. The answer to a long poll is therefore dated to
 * the end of the wait at the store, not to the request.
 */
class StoreClock
{
private:
    /**
     * Bounds are renewed after this time, so a bound is used for up to twice as long.
     * At a clock drift of 50 ppm, the offset changes by 30 ms in this time.
     */
    static constexpr Duration boundLifetime = std::chrono::minutes(10);
    static constexpr Duration shortExchangePeriod = std::chrono::minutes(4);

    std::optional<Duration> m_offsetBound;
    std::optional<Duration> m_nextOffsetBound;
    TimePoint m_renewAt = timeNever;
    Duration m_lastStoreTime{};
    TimePoint m_lastShortExchange = timeNever;

public:
    /** Whether the next request should be answered without a wait at the store, which gives a tighter bound. */
    bool needsShortExchange(TimePoint now) const;

    /** Records that a request without a wait at the store was sent. */
    void recordShortExchange(TimePoint now);

    /**
     * Updates the bound with an exchange and returns the earliest time at which the
     * store can have created the answer, in the clock of this process.
     * @param storeTime the store's clock at the answer
     */
    TimePoint estimateAnswerTime(TimePoint sentAt, TimePoint receivedAt, Duration storeTime);

    /**
     * The difference between the clock of this process and the store's clock, short of the true one by no more than the
     * fastest exchange took; nullopt before the first exchange.
     */
    std::optional<Duration> offset() const;
};

}
