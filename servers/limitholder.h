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

/** What the table keeps for one shard of client accounts. */
struct LimitRow
{
    std::int64_t epoch = 0;
    /** By account: the level, in tokens, below which its holder does not spend. */
    std::map<std::string, double> floors;
};

/**
 * Keeps the token buckets of one shard of client accounts. At any time one
 * daemon holds a shard.
 *
 * The table has a floor for each account: the holder writes a lower floor
 * before it spends below the present one. A new holder starts at the floor.
 * The old holder's level was never below it, so the level of the new bucket
 * is never above that of one bucket that had served the account all along,
 * and what both grant together stays within rate and burst.
 */
class LimitHolder
{
public:
    struct Settings
    {
        /** The share of the level that a new floor leaves for a successor. */
        double floorShare = 0.5;
        /** A lower floor is written once less than this share of the burst is left above the present one. */
        double lowHeadroomShare = 0.25;
        /** A higher floor is written once it would rise by more than this share of the burst. */
        double raiseShare = 0.25;
        /** How long the unused part of a reservation can be given back. */
        Duration reservationLife = std::chrono::minutes(10);
    };

    struct Grant
    {
        bool isGranted = false;
        /** When a refused reservation may succeed. */
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
         * What may still be given back over all reservations. A bucket that had
         * charged the true use would have lost the rest while it was full, so
         * level + refundable never exceeds the burst.
         */
        double refundable = 0;
        /** The reservations that may have refundable tokens, oldest first. */
        std::deque<std::string> reservations;
        TimePoint updatedAt{};
        double floor = 0;
        std::optional<double> floorInFlight;
        /** The highest floor that lets a request through which the present floor held up. */
        std::optional<double> neededFloor;
    };

    struct Reservation
    {
        std::string account;
        double refundable = 0;
        TimePoint madeAt{};
    };

    Settings m_settings;
    std::int64_t m_epoch = 0;
    bool m_isActive = false;
    bool m_isWriting = false;
    LimitRow m_startRow;
    std::map<std::string, Bucket> m_buckets;
    std::map<std::string, Reservation> m_reservations;

    void accrue(Bucket &bucket, TimePoint now);
    void limitRefunds(Bucket &bucket);
    static double spendable(const Bucket &bucket);
    std::optional<double> wantedFloor(const Bucket &bucket) const;
    static void needFloor(Bucket &bucket, double tokens);
    Bucket *find(const std::string &account);

public:
    explicit LimitHolder(Settings settings);

    /**
     * Whether a holder of @p epoch may write @p row under its own epoch. A
     * daemon that was paused before it began may find a successor there, whose
     * floors it must not raise.
     */
    static bool canClaim(const LimitRow &row, std::int64_t epoch);

    /**
     * Starts to hold the shard. The caller has made sure that no other holder
     * can grant any more, and has written @p row under the new epoch.
     */
    void begin(const LimitRow &row, TimePoint now);

    /** Lets the shard go. */
    void end();

    bool isActive() const;
    std::int64_t epoch() const;

    /** Sets an account's rate and burst; a new account starts full. */
    void setAccount(const std::string &account, double tokensPerSecond, double burstTokens, TimePoint now);

    /**
     * Takes @p tokens for one request. A request that only the floor holds up
     * is refused as LimitsUnavailable, and fits after the next write.
     * @param reservation a name for the request, unique over the fleet
     */
    Grant reserve(const std::string &account, const std::string &reservation, double tokens, TimePoint now);

    /** Takes back what a request did not use; doubled and unknown messages are ignored. */
    void giveBack(const std::string &reservation, double tokens, TimePoint now);

    /** The row to write now; nothing when the present one does or a write is on its way. */
    std::optional<LimitRow> nextWrite(TimePoint now);

    /** The last row is in the table. */
    void writeCommitted();

    /** The last row is not in the table and never will be. */
    void writeFailed();

    /** Forgets reservations that are too old to be given back. */
    void expire(TimePoint now);

    /** The level of @p account in tokens; for status. */
    std::optional<double> level(const std::string &account, TimePoint now);
};

}
