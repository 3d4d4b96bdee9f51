#include "servers/quotagate.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Demand is averaged over about this time.
constexpr double demandSmoothingSeconds = 0.8;
constexpr double negligibleDemand = 0.01;

// The least time over which a rate of demand is told.
constexpr double minDemandSeconds = 0.05;

}

double QuotaGate::costOf(const TrafficAccount &account, bool hasTokenCounts, double tokens)
{
    if (!account.countsTokens) {
        return 1;
    }
    return hasTokenCounts ? tokens : account.plainTokens;
}

double QuotaGate::share(const Bucket &bucket, TimePoint now) const
{
    const double even = evenPart / std::max(m_daemons, 1);
    return now < bucket.leaseEnd ? even + bucket.grantedShare : even;
}

void QuotaGate::fill(Bucket &bucket, const TrafficAccount &account, TimePoint now) const
{
    const double part = share(bucket, now);
    const double capacity = account.burst * part;
    if (bucket.filledAt == timeNever) {
        bucket.level = capacity;
    } else {
        const double seconds = std::max(0.0, toSeconds(now - bucket.filledAt));
        bucket.level = std::min(std::max(capacity, bucket.level), bucket.level + seconds * account.ratePerSecond * part);
        bucket.level = std::min(bucket.level, account.burst);
    }
    bucket.filledAt = now;
}

bool QuotaGate::take(const TrafficAccount &account, double cost, bool isFirstTry, TimePoint now)
{
    if (account.ratePerSecond <= 0) {
        return true;
    }
    Bucket &bucket = m_buckets[account.name];
    if (isFirstTry) {
        bucket.asked += cost;
        if (bucket.demandSince == timeNever) {
            bucket.demandSince = now;
        }
    }
    fill(bucket, account, now);
    // A request may overdraw the bucket, which then pays it back first: large
    // requests would otherwise never fit a small share.
    if (bucket.level <= 0) {
        return false;
    }
    bucket.level -= cost;
    return true;
}

void QuotaGate::giveBack(const TrafficAccount &account, double cost)
{
    const auto found = m_buckets.find(account.name);
    if (found != m_buckets.end()) {
        found->second.level += cost;
    }
}

Duration QuotaGate::timeUntilFilled(const TrafficAccount &account, TimePoint now)
{
    const Bucket &bucket = m_buckets[account.name];
    const double rate = account.ratePerSecond * share(bucket, now);
    if (bucket.level > 0 || rate <= 0) {
        return Duration::zero();
    }
    return fromSeconds(-bucket.level / rate);
}

std::vector<QuotaGate::Demand> QuotaGate::takeDemands(TimePoint now)
{
    std::vector<Demand> demands;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        Bucket &bucket = entry.second;
        const double seconds = bucket.demandSince == timeNever ? 0 : toSeconds(now - bucket.demandSince);
        if (seconds >= minDemandSeconds) {
            const double weight = std::min(1.0, seconds / demandSmoothingSeconds);
            bucket.demandPerSecond += weight * (bucket.asked / seconds - bucket.demandPerSecond);
            bucket.asked = 0;
            bucket.demandSince = now;
        }
        if (bucket.demandPerSecond > negligibleDemand) {
            demands.push_back(Demand{entry.first, bucket.demandPerSecond});
        }
    }
    return demands;
}

void QuotaGate::grant(const std::string &account, double share, TimePoint askedAt)
{
    Bucket &bucket = m_buckets[account];
    bucket.grantedShare = std::clamp(share, 0.0, 1.0 - evenPart);
    bucket.leaseEnd = askedAt + leaseTime;
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
