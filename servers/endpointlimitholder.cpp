#include "servers/endpointlimitholder.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>

namespace citronspar
{

namespace
{

// Requests that a bucket saves up in a pause. An account that has to yield is granted one only if the bucket is this full,
// which leaves time for the account that was refused.
constexpr double minCapacity = 2;
constexpr double capacitySeconds = 0.1;

// All entry daemons have noticed a change of the endpoint list, which selects the holder, within this time.
constexpr Duration takeoverTime = std::chrono::milliseconds(800);

constexpr Duration useHalfLife = std::chrono::seconds(2);
// A refused account that does not return within this time has given up.
constexpr Duration returnTime = std::chrono::seconds(2);

// A bucket that was not used for this time, and for this many intervals between requests, is treated as new: another daemon
// may have held the limit meanwhile.
constexpr Duration minIdleTime = std::chrono::seconds(1);
constexpr double idleIntervals = 4;

constexpr Duration bucketLifetime = std::chrono::seconds(30);
constexpr std::size_t maxBuckets = 4096;
constexpr std::size_t maxAccounts = 1024;

}

double EndpointLimitHolder::initialLevel(double requestsPerSecond)
{
    return -requestsPerSecond * toSeconds(takeoverTime);
}

void EndpointLimitHolder::refill(Bucket &bucket, TimePoint now)
{
    const double rate = bucket.limit.requestsPerSecond;
    const double capacity = minCapacity + rate * capacitySeconds;
    if (now - bucket.refilledAt > std::max(minIdleTime, fromSeconds(idleIntervals / rate))) {
        bucket.level = initialLevel(rate);
        bucket.refilledAt = now;
    }
    bucket.level = std::min(capacity, bucket.level + std::max(0.0, toSeconds(now - bucket.refilledAt)) * rate);
    bucket.refilledAt = now;
}

EndpointLimitHolder::AccountUse &EndpointLimitHolder::useOf(Bucket &bucket, const std::string &account, TimePoint now)
{
    if (bucket.accounts.size() >= maxAccounts) {
        bucket.accounts.clear();
    }
    AccountUse &use = bucket.accounts.emplace(account, AccountUse{0, now, timeNever}).first->second;
    use.granted *= std::exp2(-toSeconds(now - use.decayedAt) / toSeconds(useHalfLife));
    use.decayedAt = now;
    return use;
}

bool EndpointLimitHolder::mustYield(const Bucket &bucket, const std::string &account, TimePoint now)
{
    const auto granted = [&](const AccountUse &use) {
        return use.granted * std::exp2(-toSeconds(now - use.decayedAt) / toSeconds(useHalfLife));
    };
    const double own = granted(bucket.accounts.at(account));
    return std::any_of(bucket.accounts.begin(), bucket.accounts.end(), [&](const std::pair<const std::string, AccountUse> &entry) {
        const AccountUse &use = entry.second;
        return entry.first != account && use.refusedAt != timeNever && now - use.refusedAt < returnTime && granted(use) + 1 <= own;
    });
}

void EndpointLimitHolder::removeUnused(TimePoint now)
{
    if (m_buckets.size() < maxBuckets) {
        return;
    }
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        it = now - it->second.refilledAt > bucketLifetime ? m_buckets.erase(it) : std::next(it);
    }
}

EndpointLimitHolder::Answer EndpointLimitHolder::reserve(const std::string &endpoint, const EndpointLimit &limit,
                                                         const std::string &account, bool isHolderNew, TimePoint now)
{
    removeUnused(now);
    Bucket &bucket = m_buckets.emplace(endpoint, Bucket{limit, initialLevel(limit.requestsPerSecond), now, {}}).first->second;
    refill(bucket, now);
    if (isHolderNew) {
        bucket.level = std::min(bucket.level, initialLevel(bucket.limit.requestsPerSecond));
    }
    if (limit.statedAt >= bucket.limit.statedAt) {
        bucket.limit = limit;
    }
    AccountUse &use = useOf(bucket, account, now);
    const double needed = mustYield(bucket, account, now) ? minCapacity : 1;
    if (bucket.level < needed) {
        use.refusedAt = now;
        return Answer{false, fromSeconds((needed - bucket.level) / bucket.limit.requestsPerSecond)};
    }
    bucket.level -= 1;
    use.granted += 1;
    use.refusedAt = timeNever;
    return Answer{true, Duration::zero()};
}

}
