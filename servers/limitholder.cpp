#include "servers/limitholder.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr Duration floorRetryDelay = std::chrono::milliseconds(100);
constexpr Duration neverFitsRetryDelay = std::chrono::hours(1);

}

LimitHolder::LimitHolder(Settings settings)
    : m_settings(settings)
{
}

void LimitHolder::refill(Bucket &bucket, TimePoint now)
{
    if (now <= bucket.updatedAt) {
        return;
    }
    bucket.level = std::min(bucket.burstTokens, bucket.level + bucket.tokensPerSecond * toSeconds(now - bucket.updatedAt));
    bucket.updatedAt = now;
    limitRefunds(bucket);
}

void LimitHolder::limitRefunds(Bucket &bucket)
{
    double excess = bucket.level + bucket.refundable - bucket.burstTokens;
    while (excess > 0 && !bucket.reservations.empty()) {
        const auto oldest = m_reservations.find(bucket.reservations.front());
        const double refundable = oldest == m_reservations.end() ? 0 : oldest->second.refundable;
        const double reduction = std::min(refundable, excess);
        if (reduction == refundable) {
            bucket.reservations.pop_front();
        }
        if (reduction > 0) {
            oldest->second.refundable -= reduction;
            bucket.refundable -= reduction;
            excess -= reduction;
        }
    }
}

double LimitHolder::spendable(const Bucket &bucket)
{
    // A write in flight may or may not have been committed, so the higher floor applies.
    return bucket.level - std::max(bucket.floor, bucket.floorInFlight.value_or(bucket.floor));
}

bool LimitHolder::canClaim(const LimitRow &row, std::int64_t epoch)
{
    return row.epoch <= epoch;
}

void LimitHolder::activate(const LimitRow &row, TimePoint)
{
    m_epoch = row.epoch;
    m_initialRow = row;
    m_buckets.clear();
    m_reservations.clear();
    m_isActive = true;
    m_isWriting = false;
}

void LimitHolder::deactivate()
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
    Bucket *existing = find(account);
    if (existing != nullptr) {
        refill(*existing, now);
        existing->tokensPerSecond = tokensPerSecond;
        existing->burstTokens = burstTokens;
        existing->level = std::min(existing->level, burstTokens);
        limitRefunds(*existing);
        return;
    }
    Bucket bucket;
    bucket.tokensPerSecond = tokensPerSecond;
    bucket.burstTokens = burstTokens;
    const auto floor = m_initialRow.floors.find(account);
    // The first floor is written before anything is spent, so an account without a floor has a full bucket.
    bucket.floor = floor == m_initialRow.floors.end() ? burstTokens : std::min(floor->second, burstTokens);
    bucket.level = bucket.floor;
    bucket.updatedAt = now;
    m_buckets[account] = bucket;
}

LimitHolder::Grant LimitHolder::reserve(const std::string &account, const std::string &reservation, double tokens, TimePoint now)
{
    Bucket *bucket = find(account);
    if (!m_isActive || bucket == nullptr) {
        return Grant{false, floorRetryDelay, ErrorKind::LimitsUnavailable};
    }
    refill(*bucket, now);
    if (m_reservations.count(reservation) > 0) {
        return Grant{true, Duration::zero(), ErrorKind::OverLimit};
    }
    if (tokens > spendable(*bucket)) {
        if (tokens <= bucket->level) {
            requestLowerFloor(*bucket, tokens);
            return Grant{false, floorRetryDelay, ErrorKind::LimitsUnavailable};
        }
        const bool canFitLater = tokens <= bucket->burstTokens && bucket->tokensPerSecond > 0;
        const double missing = tokens - bucket->level;
        return Grant{false, canFitLater ? fromSeconds(missing / bucket->tokensPerSecond) : neverFitsRetryDelay, ErrorKind::OverLimit};
    }
    bucket->level -= tokens;
    bucket->refundable += tokens;
    bucket->reservations.push_back(reservation);
    m_reservations[reservation] = Reservation{account, tokens, now};
    return Grant{true, Duration::zero(), ErrorKind::OverLimit};
}

void LimitHolder::refund(const std::string &reservation, double tokens, TimePoint now)
{
    const auto found = m_reservations.find(reservation);
    if (found == m_reservations.end()) {
        return;
    }
    Bucket *bucket = find(found->second.account);
    if (bucket != nullptr) {
        refill(*bucket, now);
        bucket->level += std::clamp(tokens, 0.0, found->second.refundable);
        bucket->refundable -= found->second.refundable;
    }
    m_reservations.erase(found);
}

void LimitHolder::requestLowerFloor(Bucket &bucket, double tokens)
{
    const double needed = bucket.level - tokens;
    bucket.neededFloor = std::min(needed, bucket.neededFloor.value_or(needed));
}

std::optional<double> LimitHolder::floorToWrite(const Bucket &bucket) const
{
    const bool isNearlyEmpty = bucket.level < bucket.burstTokens * m_settings.lowHeadroomShare;
    const double target = isNearlyEmpty ? 0 : bucket.level * m_settings.floorShare;
    const bool isHeadroomLow = bucket.floor > 0 && bucket.level - bucket.floor < bucket.burstTokens * m_settings.lowHeadroomShare;
    if (bucket.neededFloor.has_value() && *bucket.neededFloor < bucket.floor) {
        return std::min(target, *bucket.neededFloor * m_settings.floorShare);
    }
    if (isHeadroomLow && target < bucket.floor) {
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
    // Accounts that the configuration lacks keep their floors, as it may have them again under the next holder.
    LimitRow row = m_initialRow;
    row.epoch = m_epoch;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        Bucket &bucket = entry.second;
        refill(bucket, now);
        const std::optional<double> newFloor = floorToWrite(bucket);
        if (newFloor.has_value()) {
            bucket.floorInFlight = newFloor;
            bucket.neededFloor.reset();
            hasChange = true;
        }
        row.floors[entry.first] = newFloor.value_or(bucket.floor);
    }
    if (!hasChange) {
        return std::nullopt;
    }
    m_isWriting = true;
    return row;
}

void LimitHolder::handleWriteCommit()
{
    m_isWriting = false;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        if (entry.second.floorInFlight.has_value()) {
            entry.second.floor = *entry.second.floorInFlight;
            entry.second.floorInFlight.reset();
        }
    }
}

void LimitHolder::handleWriteFailure()
{
    m_isWriting = false;
    for (std::pair<const std::string, Bucket> &entry : m_buckets) {
        entry.second.floorInFlight.reset();
    }
}

void LimitHolder::expireReservations(TimePoint now)
{
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        if (now - it->second.reservedAt <= m_settings.reservationLifetime) {
            ++it;
            continue;
        }
        Bucket *bucket = find(it->second.account);
        if (bucket != nullptr) {
            bucket->refundable -= it->second.refundable;
        }
        it = m_reservations.erase(it);
    }
}

std::optional<double> LimitHolder::level(const std::string &account, TimePoint now)
{
    Bucket *bucket = find(account);
    if (bucket == nullptr) {
        return std::nullopt;
    }
    refill(*bucket, now);
    return bucket->level;
}

}
