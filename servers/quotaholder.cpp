#include "servers/quotaholder.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// A new holder of an account doesn't know what the previous one granted. It
// starts with this share of the tolerated slack, so that the first requests are
// granted.
constexpr double initialSlackShare = 0.1;

// An account without a request for this long is treated as new, as another
// daemon may have held it meanwhile.
constexpr Duration idleTimeout = std::chrono::seconds(1);

}

QuotaHolder::QuotaHolder(QuotaTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void QuotaHolder::setTolerance(QuotaTolerance tolerance)
{
    m_tolerance = tolerance;
}

void QuotaHolder::setDaemonCount(int count)
{
    m_daemonCount = count;
}

QuotaHolder::Answer QuotaHolder::reserve(const TrafficAccount &account, double cost, TimePoint now)
{
    if (account.ratePerSecond <= 0) {
        return Answer{true, Duration::zero()};
    }
    const double holderShare = 1 - QuotaGate::localShare(m_daemonCount);
    const double rate = rateWithTolerance(account, m_tolerance) * holderShare;
    const double initialLevel = std::min(account.burst * holderShare, m_tolerance.slack * initialSlackShare);
    const auto existing = m_buckets.find(account.name);
    if (existing != m_buckets.end() && now - existing->second.refilledAt > idleTimeout) {
        m_buckets.erase(existing);
    }
    const std::pair<std::map<std::string, Bucket>::iterator, bool> inserted = m_buckets.emplace(account.name, Bucket{initialLevel, now});
    Bucket &bucket = inserted.first->second;
    const double seconds = std::max(0.0, toSeconds(now - bucket.refilledAt));
    bucket.level = std::min(account.burst * holderShare, bucket.level + seconds * rate);
    bucket.refilledAt = now;
    // A request larger than half the capacity may overdraw the bucket; otherwise it would hardly ever be granted.
    const double needed = std::min(cost, account.burst * holderShare / 2);
    if (bucket.level < needed) {
        return Answer{false, fromSeconds((needed - bucket.level) / rate)};
    }
    bucket.level -= cost;
    return Answer{true, Duration::zero()};
}

}
