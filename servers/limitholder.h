#pragma once

#include "core/errorkind.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** The row of the table for one shard of client accounts. */
struct LimitRow
{
    std::int64_t epoch = 0;
    /** By account: the level, in tokens, below which the holder may not spend. */
    std::map<std::string, double> floors;
};

/**
 * The token buckets of one shard of client accounts. Each shard has one holder
 * at a time.
 *
 * The table stores a floor for each account: the holder writes a lower floor
 * before it spends below the current one. A new holder starts with a level
 * equal to the floor. The level of the previous holder was never below the
 * floor, so the new level never exceeds that of a single bucket that had
 * served the account throughout, and the grants of both holders together stay
 * within rate and burst.
 */
class LimitHolder
{
public:
    struct Settings
    {
        /** The share of the current level that a new floor reserves for the next holder. */
        double floorShare = 0.5;
        /**
         * A lower floor is written once less than this share of the burst remains above
         * the current one. The floor is 0 if the level itself is below this share.
         */
        double lowHeadroomShare = 0.25;
        /** A higher floor is written once it would rise by more than this share of the burst. */
        double raiseShare = 0.25;
        /** How long the unused tokens of a reservation can be refunded. */
        Duration reservationLifetime = std::chrono::minutes(10);
    };

    struct Grant
    {
        bool isGranted = false;
        /** The time after which a refused reservation may succeed. */
        Duration retryAfter{};
        ErrorKind kind = ErrorKind::OverLimit;
    };

private:
    struct Bucket
    {
        double tokensPerSecond = 0;
        double burstTokens = 0;
        double level = 0;
        /**
         * The tokens that may still be refunded, over all reservations. A bucket
         * that had charged only the actual use would have been full earlier and
         * discarded further refills, so level + refundable never exceeds the burst.
         */
        double refundable = 0;
        /** The reservations that may have refundable tokens, oldest first. */
        std::deque<std::string> reservations;
        TimePoint updatedAt{};
        double floor = 0;
        std::optional<double> floorInFlight;
        /** The highest floor that admits the requests that the current floor blocked. */
        std::optional<double> neededFloor;
    };

    struct Reservation
    {
        std::string account;
        double refundable = 0;
        TimePoint reservedAt{};
    };

    Settings m_settings;
    std::int64_t m_epoch = 0;
    bool m_isActive = false;
    bool m_isWriting = false;
    LimitRow m_initialRow;
    std::map<std::string, Bucket> m_buckets;
    std::map<std::string, Reservation> m_reservations;

    void refill(Bucket &bucket, TimePoint now);
    void limitRefunds(Bucket &bucket);
    static double spendable(const Bucket &bucket);
    std::optional<double> floorToWrite(const Bucket &bucket) const;
    static void requestLowerFloor(Bucket &bucket, double tokens);
    Bucket *find(const std::string &account);

public:
    explicit LimitHolder(Settings settings);

    /**
     * Whether a holder with @p epoch may claim @p row. After a pause, a daemon
     * may find the row claimed by its successor, whose floors it must not raise.
     */
    static bool canClaim(const LimitRow &row, std::int64_t epoch);

    /**
     * Becomes the holder of the shard. The caller must have ensured that no
     * other holder can grant any more, and have committed @p row with the new
     * epoch.
     */
    void activate(const LimitRow &row, TimePoint now);

    /** Stops holding the shard and discards all buckets and reservations. */
    void deactivate();

    bool isActive() const;
    std::int64_t epoch() const;

    /** Sets an account's rate and burst. An account without a bucket starts at its floor, or full if it has no floor. */
    void setAccount(const std::string &account, double tokensPerSecond, double burstTokens, TimePoint now);

    /**
     * Reserves @p tokens for one request. A request that fits the level but not
     * the floor is refused with LimitsUnavailable, and fits after the next write.
     * @param reservation an id that is unique across all daemons; repeating a granted one is idempotent
     */
    Grant reserve(const std::string &account, const std::string &reservation, double tokens, TimePoint now);

    /** Refunds the tokens that a request did not use. Duplicate and unknown reservations are ignored. */
    void refund(const std::string &reservation, double tokens, TimePoint now);

    /** The row to write next. Returns nullopt if no floor has to change or a write is in flight. */
    std::optional<LimitRow> nextWrite(TimePoint now);

    /** Applies the floors of the last nextWrite(), whose row was committed. */
    void handleWriteCommit();

    /** Discards the floors of the last nextWrite(), whose row was not committed and can't be committed later. */
    void handleWriteFailure();

    /** Drops reservations that are too old to be refunded. */
    void expireReservations(TimePoint now);

    /** The level of @p account in tokens, for status reports. Returns nullopt if the account is unknown. */
    std::optional<double> level(const std::string &account, TimePoint now);
};

}
