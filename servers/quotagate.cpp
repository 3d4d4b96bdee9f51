#include "servers/quotagate.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// This share of the tolerance compensates for requests that one daemon refuses
// while another still has tokens. The rest covers requests that overdraw a
// bucket, and times when two daemons both act as the holder of an account.
constexpr double usedToleranceShare = 0.6;

// The share of the tolerated slack by which all entry daemons together may overdraw their buckets of an account.
constexpr double overdraftShare = 1.0;

constexpr double maxLocalShare = 0.3;
constexpr int daemonsWithFullShare = 8;

}

double rateWithTolerance(const TrafficAccount &account, const QuotaTolerance &tolerance)
{
    const double extra = account.ratePerSecond * tolerance.overshoot + tolerance.slack / toSeconds(tolerance.window);
    return account.ratePerSecond + usedToleranceShare * extra;
}

double quotaCost(const TrafficAccount &account, bool hasTokenCounts, double tokens)
{
    if (!account.countsTokens) {
        return 1;
    }
    return hasTokenCounts ? tokens : account.plainTokens;
}

double QuotaGate::localShare(int daemons)
{
    return maxLocalShare * std::min(1.0, static_cast<double>(daemonsWithFullShare) / std::max(daemons, 1));
}

QuotaGate::QuotaGate(QuotaTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void QuotaGate::setTolerance(QuotaTolerance tolerance)
{
    m_tolerance = tolerance;
}

QuotaGate::Bucket &QuotaGate::refilledBucket(const TrafficAccount &account, TimePoint now)
{
    const double share = localShare(m_daemonCount) / m_daemonCount;
    const double capacity = account.burst * share;
    Bucket &bucket = m_buckets[account.name];
    if (bucket.refilledAt == timeNever) {
        bucket.level = capacity;
    } else {
        const double seconds = std::max(0.0, toSeconds(now - bucket.refilledAt));
        bucket.level = std::min(capacity, bucket.level + seconds * rateWithTolerance(account, m_tolerance) * share);
    }
    bucket.refilledAt = now;
    return bucket;
}

bool QuotaGate::tryConsume(const TrafficAccount &account, double cost, TimePoint now)
{
    if (account.ratePerSecond <= 0) {
        return true;
    }
    Bucket &bucket = refilledBucket(account, now);
    if (bucket.level < cost) {
        return false;
    }
    bucket.level -= cost;
    return true;
}

bool QuotaGate::tryConsumeOverdrawn(const TrafficAccount &account, double cost, TimePoint now)
{
    Bucket &bucket = refilledBucket(account, now);
    if (bucket.level <= 0 || bucket.level - cost < -m_tolerance.slack * overdraftShare / m_daemonCount) {
        return false;
    }
    bucket.level -= cost;
    return true;
}

void QuotaGate::refund(const TrafficAccount &account, double cost, TimePoint now)
{
    if (account.ratePerSecond > 0) {
        refilledBucket(account, now).level += cost;
    }
}

void QuotaGate::setDaemonCount(int count)
{
    m_daemonCount = std::max(count, 1);
}

int QuotaGate::daemonCount() const
{
    return m_daemonCount;
}

}
