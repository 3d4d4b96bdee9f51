#pragma once

#include "core/time.h"
#include "servers/trafficconfig.h"

#include <map>
#include <string>

namespace citronspar
{

/** How far an account may exceed its rate, summed over all daemons; set by the operators. */
struct QuotaTolerance
{
    /** Relative excess, as a fraction of what the rate allows in the window. */
    double overshoot = 0;
    /** Absolute excess for each window, in the unit of the rate. */
    double slack = 0;
    Duration window = std::chrono::seconds(8);
};

/** The rate of @p account, plus the share of the tolerance that is used for grants. */
double rateWithTolerance(const TrafficAccount &account, const QuotaTolerance &tolerance);

/** The cost of a request in the unit of the account's rate: tokens, or 1 for accounts that count requests. */
double quotaCost(const TrafficAccount &account, bool hasTokenCounts, double tokens);

/**
 * The token buckets that an entry daemon uses without a round trip to the
 * holder: a fixed share of each client account's rate, divided evenly between
 * the entry daemons. The account's holder grants the rest (QuotaHolder). Both
 * together never exceed rate and burst by more than the tolerance, even while the
 * daemons can't reach each other.
 */
class QuotaGate
{
public:
    /** The number of entry daemons that is assumed until the actual number is known. */
    static constexpr int defaultDaemonCount = 8;

    /**
     * The share of each rate that is divided evenly between @p daemons entry daemons. It shrinks as their number grows: the
     * part of one daemon in a large fleet is less than a single request costs, and would be left unused.
     */
    static double localShare(int daemons);

private:
    struct Bucket
    {
        double level = 0;
        TimePoint refilledAt = timeNever;
    };

    QuotaTolerance m_tolerance;
    std::map<std::string, Bucket> m_buckets;
    int m_daemonCount = defaultDaemonCount;

    Bucket &refilledBucket(const TrafficAccount &account, TimePoint now);

public:
    explicit QuotaGate(QuotaTolerance tolerance);

    void setTolerance(QuotaTolerance tolerance);

    /** Deducts @p cost if the bucket holds that much. */
    bool tryConsume(const TrafficAccount &account, double cost, TimePoint now);

    /**
     * Deducts @p cost if the bucket is not empty; its level may become negative, by this daemon's part of the tolerance.
     * Used while the holder is unreachable, when all daemons may do so at once.
     */
    bool tryConsumeOverdrawn(const TrafficAccount &account, double cost, TimePoint now);

    /** Refunds the cost of a request that did not run. */
    void refund(const TrafficAccount &account, double cost, TimePoint now);

    /** Sets the number of entry daemons that share the rates. */
    void setDaemonCount(int count);
    int daemonCount() const;
};

}
