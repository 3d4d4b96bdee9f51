#include "servers/quotagate.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// The part of the tolerance that makes up for what one daemon refuses while
// another has room. The rest covers requests that overdraw a bucket and the
// moments in which two daemons take themselves for the holder.
constexpr double toleranceUsed = 0.6;

}

double usableRate(const TrafficAccount &account, const QuotaTolerance &tolerance)
{
    const double extra = account.ratePerSecond * tolerance.overshoot + tolerance.slack / toSeconds(tolerance.window);
    return account.ratePerSecond + toleranceUsed * extra;
}

double quotaCost(const TrafficAccount &account, bool hasTokenCounts, double tokens)
{
    if (!account.countsTokens) {
        return 1;
    }
    return hasTokenCounts ? tokens : account.plainTokens;
}

QuotaGate::QuotaGate(QuotaTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void QuotaGate::setTolerance(QuotaTolerance tolerance)
{
    m_tolerance = tolerance;
}

QuotaGate::Bucket &QuotaGate::filledBucket(const TrafficAccount &account, TimePoint now)
{
    const double part = evenPart / m_daemons;
    const double capacity = account.burst * part;
    Bucket &bucket = m_buckets[account.name];
    if (bucket.filledAt == timeNever) {
        bucket.level = capacity;
    } else {
        const double seconds = std::max(0.0, toSeconds(now - bucket.filledAt));
        bucket.level = std::min(capacity, bucket.level + seconds * usableRate(account, m_tolerance) * part);
    }
    bucket.filledAt = now;
    return bucket;
}

bool QuotaGate::take(const TrafficAccount &account, double cost, TimePoint now)
{
    if (account.ratePerSecond <= 0) {
        return true;
    }
    Bucket &bucket = filledBucket(account, now);
    if (bucket.level < cost) {
        return false;
    }
    bucket.level -= cost;
    return true;
}

bool QuotaGate::takeOverdrawn(const TrafficAccount &account, double cost, TimePoint now)
{
    Bucket &bucket = filledBucket(account, now);
    if (bucket.level <= 0) {
        return false;
    }
    bucket.level -= cost;
    return true;
}

void QuotaGate::giveBack(const TrafficAccount &account, double cost, TimePoint now)
{
    if (account.ratePerSecond > 0) {
        filledBucket(account, now).level += cost;
    }
}

void QuotaGate::setDaemons(int count)
{
    m_daemons = std::max(count, 1);
}

int QuotaGate::daemons() const
{
    return m_daemons;
}

}
