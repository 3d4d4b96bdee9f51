#include "servers/limitholder.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr Duration floorRetry = std::chrono::milliseconds(100);
constexpr Duration neverRetry = std::chrono::hours(1);

}

LimitHolder::LimitHolder(Settings settings)
    : m_settings(settings)
{
}

void LimitHolder::accrue(Bucket &bucket, TimePoint now)
{
    if (now <= bucket.updatedAt) {
        return;
    }
    bucket.level = std::min(bucket.burstTokens, bucket.level + bucket.tokensPerSecond * toSeconds(now - bucket.updatedAt));
    bucket.updatedAt = now;
}

double LimitHolder::spendable(const Bucket &bucket)
{
    // A write on its way may have taken effect, so the higher floor counts.
    return bucket.level - std::max(bucket.floor, bucket.floorInFlight.value_or(bucket.floor));
}

void LimitHolder::begin(const LimitRow &row, TimePoint)
{
    m_epoch = row.epoch;
    m_startRow = row;
    m_buckets.clear();
    m_reservations.clear();
    m_isActive = true;
    m_isWriting = false;
}

void LimitHolder::end()
{
    m_isActive = false;
    m_buckets.clear();
    m_reservations.clear();
}

bool LimitHolder::isActive() const
{
    return m_isActive;
}

std::int64_t LimitHolder::epoch() const
{
    return m_epoch;
}

LimitHolder::Bucket *LimitHolder::find(const std::string &account)
{
    const auto found = m_buckets.find(account);
    return found == m_buckets.end() ? nullptr : &found->second;
}

void LimitHolder::setAccount(const std::string &account, double tokensPerSecond, double burstTokens, TimePoint now)
{
    Bucket *known = find(account);
    if (known != nullptr) {
        accrue(*known, now);
        known->tokensPerSecond = tokensPerSecond;
        known->burstTokens = burstTokens;
        known->level = std::min(known->level, burstTokens);
        return;
    }
    Bucket bucket;
    bucket.tokensPerSecond = tokensPerSecond;
    bucket.burstTokens = burstTokens;
    const auto floor = m_startRow.floors.find(account);
    // An account without a floor was never spent from, as the first floor is written before.
    bucket.floor = floor == m_startRow.floors.end() ? burstTokens : std::min(floor->second, burstTokens);
    bucket.level = bucket.floor;
    bucket.updatedAt = now;
    m_buckets[account] = bucket;
}

LimitHolder::Grant LimitHolder::reserve(const std::string &account, const std::string &reservation, double tokens, TimePoint now)
{
    Bucket *bucket = find(account);
    if (!m_isActive || bucket == nullptr) {
        return Grant{false, floorRetry, ErrorKind::LimitsUnavailable};
    }
    accrue(*bucket, now);
    if (m_reservations.count(reservation) > 0) {
        return Grant{true, Duration::zero(), ErrorKind::OverLimit};
    }
    if (tokens > spendable(*bucket)) {
        if (tokens <= bucket->level) {
            return Grant{false, floorRetry, ErrorKind::LimitsUnavailable};
        }
        const bool canEverFit = tokens <= bucket->burstTokens && bucket->tokensPerSecond > 0;
        const double missing = tokens - bucket->level;
        return Grant{false, canEverFit ? fromSeconds(missing / bucket->tokensPerSecond) : neverRetry, ErrorKind::OverLimit};
    }
    bucket->level -= tokens;
    m_reservations[reservation] = Reservation{account, tokens, now};
    return Grant{true, Duration::zero(), ErrorKind::OverLimit};
}

void LimitHolder::giveBack(const std::string &reservation, double tokens, TimePoint now)
{
    const auto found = m_reservations.find(reservation);
    if (found == m_reservations.end()) {
        return;
    }
    Bucket *bucket = find(found->second.account);
    if (bucket != nullptr) {
        accrue(*bucket, now);
        const double returned = std::clamp(tokens, 0.0, found->second.tokens);
        bucket->level = std::min(bucket->burstTokens, bucket->level + returned);
    }
    m_reservations.erase(found);
}

std::optional<double> LimitHolder::wantedFloor(const Bucket &bucket) const
{
    const bool isNearlyEmpty = bucket.level < bucket.burstTokens * m_settings.lowHeadroomShare;
    const double target = isNearlyEmpty ? 0 : bucket.level * m_settings.floorShare;
    const bool isLow = bucket.floor > 0 && bucket.level - bucket.floor < bucket.burstTokens * m_settings.lowHeadroomShare;
    if (isLow && target < bucket.floor) {
        return target;
    }
    if (target - bucket.floor > bucket.burstTokens * m_settings.raiseShare) {
        return target;
    }
    return std::nullopt;
}

std::optional<LimitRow> LimitHolder::nextWrite(TimePoint now)
{
    if (!m_isActive || m_isWriting) {
        return std::nullopt;
    }
    bool hasChange = false;
    LimitRow row;
    row.epoch = m_epoch;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        Bucket &bucket = entry.second;
        accrue(bucket, now);
        const std::optional<double> wanted = wantedFloor(bucket);
        if (wanted.has_value()) {
            bucket.floorInFlight = wanted;
            hasChange = true;
        }
        row.floors[entry.first] = wanted.value_or(bucket.floor);
    }
    if (!hasChange) {
        return std::nullopt;
    }
    m_isWriting = true;
    return row;
}

void LimitHolder::writeCommitted()
{
    m_isWriting = false;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        if (entry.second.floorInFlight.has_value()) {
            entry.second.floor = *entry.second.floorInFlight;
            entry.second.floorInFlight.reset();
        }
    }
}

void LimitHolder::writeFailed()
{
    m_isWriting = false;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        entry.second.floorInFlight.reset();
    }
}

void LimitHolder::expire(TimePoint now)
{
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        it = now - it->second.madeAt > m_settings.reservationLife ? m_reservations.erase(it) : std::next(it);
    }
}

std::optional<double> LimitHolder::level(const std::string &account, TimePoint now)
{
    Bucket *bucket = find(account);
    if (bucket == nullptr) {
        return std::nullopt;
    }
    accrue(*bucket, now);
    return bucket->level;
}

}
