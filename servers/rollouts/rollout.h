#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** The operators' request to move a service's traffic to endpoints of another software version. */
struct RolloutOrder
{
    std::string service;
    std::string to;
    /** Time from the order to its deadline. */
    Duration deadline{};
    /** The store's version of the order's row, which identifies the order within one era. */
    std::int64_t id = 0;
    /** The era of the store in which the row was read. */
    std::int64_t era = 0;
};

/** The values are part of the peer protocol. */
enum class RolloutPhase {
    /** Requests reach the new version only by single grants. */
    Canary = 0,
    /** The share of the new version rises; the judgement goes on. */
    Raising = 1,
    /** All new attempts go to the new version; attempts at the old one end. */
    Closing = 2,
    Completed = 3,
    Reverted = 4,
};

/** What the earlier orders for one version have used of the bounds on its exposure. */
struct EarlierExposure
{
    std::string to;
    std::int64_t exposed = 0;
    std::int64_t counted = 0;
    /** The latest deadline of these orders, by the store's clock. */
    Duration deadline{};
};

/** The row that the entry and endpoint daemons share about a service's last order. */
struct RolloutRow
{
    std::int64_t order = 0;
    std::int64_t era = 0;
    std::string to;
    /** The versions in use when the order began. */
    std::vector<std::string> from;
    /** Versions of earlier orders that were reverted, if they were still listed when the order began. */
    std::vector<std::string> reverted;
    RolloutPhase phase = RolloutPhase::Canary;
    /** The daemon that decides, and its peer address. */
    std::string holder;
    std::string holderAddress;
    /** Counts the holders. */
    std::int64_t term = 0;
    /** By the store's clock. */
    Duration begun{};
    Duration deadline{};
    /** Upper bound of the requests that were permitted to reach the new version. */
    std::int64_t exposed = 0;
    /** Requests of the service that entry daemons have reported since the order. */
    std::int64_t counted = 0;
    /** One for each version of earlier orders whose deadlines had not passed when this order began. */
    std::vector<EarlierExposure> earlier;
    /** Why the last phase began, for operators. */
    std::string reason;
};

/**
 * The versions in use according to the row of the last order: those before the order while it is being tried or after it was
 * reverted, all while it closes, and its own after completion.
 */
std::vector<std::string> versionsInUse(const RolloutRow &row);

/** Counts of one route at one software version. Cumulative in reports. */
struct VersionCounts
{
    /** Class i holds times up to shortestTime x timeClassFactor^i; the last one holds all longer ones. */
    static constexpr std::size_t timeClasses = 24;
    static constexpr double timeClassFactor = 1.5;
    static constexpr Duration shortestTime = std::chrono::milliseconds(2);

    std::int64_t sent = 0;
    std::int64_t ended = 0;
    std::int64_t failed = 0;
    std::array<std::int64_t, timeClasses> times{};

    /** The class of a time to the first event, or to the response if it is no stream. */
    static std::size_t timeClass(Duration time);
};

/** The name of a route, and whether the counts are those of the new version. */
using VersionCountsByRoute = std::map<std::pair<std::string, bool>, VersionCounts>;

/** What an entry daemon reports to the holder. Counts are cumulative since the order, in this incarnation of the daemon. */
struct RolloutReport
{
    /** Name and incarnation of the entry daemon. */
    std::string daemon;
    VersionCountsByRoute counts;
    /** The phase that the daemon acts in. */
    RolloutPhase phase = RolloutPhase::Canary;
    std::int64_t oldRunning = 0;
};

/** The holder's answer to a report. */
struct RolloutPermit
{
    bool isHolder = false;
    RolloutPhase phase = RolloutPhase::Canary;
    /** Cumulative since the order. */
    std::int64_t granted = 0;
    double share = 0;
    Duration validity{};
    /** 0 for all. */
    int canaryEndpoints = 0;
    std::string holderAddress;
};

/** Bounds that the deployment's settings state. */
struct RolloutBounds
{
    double exposureShare = 0.1;
    double exposureSlack = 50;
    Duration rollback = std::chrono::milliseconds(5000);
};

}
