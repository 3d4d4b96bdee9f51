#include "servers/quotaholder.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// A new holder of an account knows nothing of what the one before granted. It
// begins with this part of the tolerated slack, so that first requests pass.
constexpr double startPartOfSlack = 0.1;

// An account that was not asked for here for this long counts as a new one.
constexpr Duration idleTime = std::chrono::seconds(1);

constexpr double heldPart = 1 - QuotaGate::evenPart;

}

QuotaHolder::QuotaHolder(QuotaTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void QuotaHolder::setTolerance(QuotaTolerance tolerance)
{
    m_tolerance = tolerance;
}

QuotaHolder::Answer QuotaHolder::reserve(const TrafficAccount &account, double cost, TimePoint now)
{
    const double rate = usableRate(account, m_tolerance) * heldPart;
    const double startLevel = std::min(account.burst * heldPart, m_tolerance.slack * startPartOfSlack);
    const auto known = m_buckets.find(account.name);
    if (known != m_buckets.end() && now - known->second.filledAt > idleTime) {
        // Another daemon may have held the account meanwhile.
        m_buckets.erase(known);
    }
    const std::pair<std::map<std::string, Bucket>::iterator, bool> inserted = m_buckets.emplace(account.name, Bucket{startLevel, now});
    Bucket &bucket = inserted.first->second;
    const double seconds = std::max(0.0, toSeconds(now - bucket.filledAt));
    bucket.level = std::min(account.burst * heldPart, bucket.level + seconds * rate);
    bucket.filledAt = now;
    // A request larger than half the bucket may overdraw it: it would else hardly ever fit.
    const double needed = std::min(cost, account.burst * heldPart / 2);
    if (bucket.level < needed) {
        return Answer{false, rate > 0 ? fromSeconds((needed - bucket.level) / rate) : Duration(std::chrono::seconds(1))};
    }
    bucket.level -= cost;
    return Answer{true, Duration::zero()};
}

}
