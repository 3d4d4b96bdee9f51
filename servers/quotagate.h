#pragma once

#include "core/time.h"
#include "servers/trafficconfig.h"

#include <map>
#include <string>

namespace citronspar
{

/** What the operators tolerate beyond the accounts' rates, over all daemons. */
struct QuotaTolerance
{
    /** As a part of what the rate allows in the window. */
    double overshoot = 0;
    /** In units of the rate, in each window. */
    double slack = 0;
    Duration window = std::chrono::seconds(8);
};

/** The rate of @p account with the part of the tolerance that is used. */
double usableRate(const TrafficAccount &account, const QuotaTolerance &tolerance);

/** What a request costs its account, in the units of the account's rate. */
double quotaCost(const TrafficAccount &account, bool hasTokenCounts, double tokens);

/**
 * The part of the client accounts' rates that an entry daemon may use without
 * asking: an even part of a fixed share. The rest of each rate lies with the
 * account's holder (QuotaHolder). Both together never exceed the rate, also
 * when the daemons are out of touch.
 */
class QuotaGate
{
public:
    /** The part of each rate that is divided evenly between the entry daemons. */
    static constexpr double evenPart = 0.3;
    /** Entry daemons that are assumed to exist until their number is told. */
    static constexpr int assumedDaemons = 8;

private:
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt = timeNever;
    };

    QuotaTolerance m_tolerance;
    std::map<std::string, Bucket> m_buckets;
    int m_daemons = assumedDaemons;

    Bucket &filledBucket(const TrafficAccount &account, TimePoint now);

public:
    explicit QuotaGate(QuotaTolerance tolerance);

    /** The operators changed what they tolerate. */
    void setTolerance(QuotaTolerance tolerance);

    /** Takes @p cost when the bucket has it. */
    bool take(const TrafficAccount &account, double cost, TimePoint now);

    /** Takes @p cost when the bucket is not empty; what it lacks is paid back first. For when the holder is out of reach. */
    bool takeOverdrawn(const TrafficAccount &account, double cost, TimePoint now);

    /** The request did not run. */
    void giveBack(const TrafficAccount &account, double cost, TimePoint now);

    /** The number of entry daemons. */
    void setDaemons(int count);
    int daemons() const;
};

}
