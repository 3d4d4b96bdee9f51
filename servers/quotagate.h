#pragma once

#include "core/time.h"
#include "servers/trafficconfig.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * An entry daemon's part of the client accounts' rates. Each daemon has a
 * basic share that nobody has to grant; half of each rate is divided by the
 * holder of the account, by demand, for the time of a lease. The shares of all
 * daemons never add up to more than the rate, also when they are out of touch.
 */
class QuotaGate
{
public:
    /** The part of each rate that is divided evenly, without a grant. */
    static constexpr double evenPart = 0.5;
    /** A granted share is used for this long, counted from when it was asked for. */
    static constexpr Duration leaseTime = std::chrono::milliseconds(1500);
    /** Entry daemons that are assumed to exist until a holder tells their number. */
    static constexpr int assumedDaemons = 8;

    struct Demand
    {
        std::string account;
        double perSecond = 0;
    };

private:
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt = timeNever;
        double grantedShare = 0;
        TimePoint leaseEnd = timeNever;
        /** What was asked since the demand was last told. */
        double asked = 0;
        double demandPerSecond = 0;
        TimePoint demandSince = timeNever;
    };

    std::map<std::string, Bucket> m_buckets;
    int m_daemons = assumedDaemons;

    double share(const Bucket &bucket, TimePoint now) const;
    void fill(Bucket &bucket, const TrafficAccount &account, TimePoint now) const;

public:
    /** What a request costs its account, in the units of the account's rate. */
    static double costOf(const TrafficAccount &account, bool hasTokenCounts, double tokens);

    /** Takes @p cost out of the account's bucket; false when it is empty. Asking counts as demand when @p isFirstTry. */
    bool take(const TrafficAccount &account, double cost, bool isFirstTry, TimePoint now);

    /** The request did not run. */
    void giveBack(const TrafficAccount &account, double cost);

    /** The time until the bucket has something again. */
    Duration timeUntilFilled(const TrafficAccount &account, TimePoint now);

    /** The demands of the accounts that were asked for lately. */
    std::vector<Demand> takeDemands(TimePoint now);

    /**
     * @param share the granted part of the rate beyond the basic share
     * @param askedAt when the report left that the holder answers
     */
    void grant(const std::string &account, double share, TimePoint askedAt);

    /** The number of entry daemons, as a holder counts them. */
    void setDaemons(int count);
    int daemons() const;
};

}
