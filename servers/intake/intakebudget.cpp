#include "servers/intake/intakebudget.h"

#include <algorithm>
#include <tuple>

namespace citronspar
{

namespace
{

// The last quarter lets the preferred requests end, which is the largest body for a bound of four bodies.
constexpr std::size_t waitingQuarters = 3;
constexpr std::size_t quarters = 4;

// Beyond the bound, requests are refused until an eighth is free, so that each refusal need not look through all of them.
// As much is left to requests that are being received, so that running ones and output don't keep all others out.
constexpr std::size_t freedFraction = 8;

}

std::size_t IntakeBudget::waitingThreshold() const
{
    return m_maxBytes / quarters * waitingQuarters;
}

void IntakeBudget::setMaxBytes(std::size_t bytes)
{
    m_maxBytes = bytes;
}

std::size_t IntakeBudget::maxBytes() const
{
    return m_maxBytes;
}

std::size_t IntakeBudget::totalBytes() const
{
    return m_receivedBytes + m_runningBytes + m_outputBytes;
}

bool IntakeBudget::isNearBound() const
{
    return totalBytes() >= waitingThreshold();
}

bool IntakeBudget::isBeyondBound() const
{
    return totalBytes() > m_maxBytes;
}

void IntakeBudget::setOutputBytes(std::size_t bytes)
{
    m_outputBytes = bytes;
}

IntakeBudget::HolderId IntakeBudget::add(TimePoint now)
{
    const HolderId id = ++m_lastId;
    m_holders[id].progressedAt = now;
    return id;
}

void IntakeBudget::remove(HolderId id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return;
    }
    std::size_t &sum = found->second.isRunning ? m_runningBytes : m_receivedBytes;
    sum -= found->second.bytes;
    m_holders.erase(found);
}

void IntakeBudget::recordReceived(HolderId id, std::size_t bytes, std::size_t missingBytes, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.isRunning) {
        return;
    }
    m_receivedBytes += bytes - found->second.bytes;
    found->second.bytes = bytes;
    found->second.missingBytes = missingBytes;
    found->second.progressedAt = now;
}

void IntakeBudget::recordRunning(HolderId id, std::size_t bytes)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || !found->second.isRunning) {
        return;
    }
    m_runningBytes += bytes - found->second.bytes;
    found->second.bytes = bytes;
}

bool IntakeBudget::start(HolderId id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return false;
    }
    Holder &holder = found->second;
    // Small requests may use the last quarter too, so that large ones don't keep ordinary callers out.
    const std::size_t limit = holder.bytes <= smallRequestBytes ? m_maxBytes : waitingThreshold();
    if (m_runningBytes > 0 && m_runningBytes + holder.bytes > limit) {
        return false;
    }
    m_receivedBytes -= holder.bytes;
    m_runningBytes += holder.bytes;
    holder.isRunning = true;
    holder.isWaiting = false;
    return true;
}

bool IntakeBudget::mayRead(HolderId id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return true;
    }
    Holder &holder = found->second;
    holder.isWaiting = !holder.isRunning && isNearBound() && holder.bytes > smallRequestBytes && !holder.isPreferred;
    return !holder.isWaiting;
}

bool IntakeBudget::isStalled(const Holder &holder, TimePoint now) const
{
    return !holder.isWaiting && now - holder.progressedAt >= stallTime;
}

void IntakeBudget::updatePreferred(TimePoint now)
{
    std::size_t promisedBytes = totalBytes();
    bool isAnyPreferred = false;
    for (std::pair<const HolderId, Holder> &entry : m_holders) {
        Holder &holder = entry.second;
        const bool isCandidate = !holder.isRunning && holder.bytes > smallRequestBytes && !isStalled(holder, now);
        // One request is read on in any case, as otherwise all could wait for each other.
        holder.isPreferred = isCandidate && (!isAnyPreferred || promisedBytes + holder.missingBytes <= m_maxBytes);
        if (holder.isPreferred) {
            promisedBytes += holder.missingBytes;
            isAnyPreferred = true;
        }
    }
}

std::vector<IntakeBudget::HolderId> IntakeBudget::resumable(TimePoint now)
{
    updatePreferred(now);
    std::vector<HolderId> ids;
    for (std::pair<const HolderId, Holder> &entry : m_holders) {
        Holder &holder = entry.second;
        if (holder.isWaiting && (holder.isPreferred || !isNearBound())) {
            holder.isWaiting = false;
            holder.progressedAt = now;
            ids.push_back(entry.first);
        }
    }
    return ids;
}

std::vector<IntakeBudget::HolderId> IntakeBudget::refusalOrder(TimePoint now) const
{
    // Stalled requests come first, then those that are not preferred, each by size.
    std::vector<std::tuple<int, std::size_t, HolderId>> order;
    for (const std::pair<const HolderId, Holder> &entry : m_holders) {
        const Holder &holder = entry.second;
        if (!holder.isRunning) {
            const int rank = isStalled(holder, now) ? 2 : (holder.isPreferred ? 0 : 1);
            order.emplace_back(rank, holder.bytes, entry.first);
        }
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<HolderId> ids;
    ids.reserve(order.size());
    for (const std::tuple<int, std::size_t, HolderId> &entry : order) {
        ids.push_back(std::get<2>(entry));
    }
    return ids;
}

std::vector<IntakeBudget::HolderId> IntakeBudget::refusable(TimePoint now) const
{
    std::vector<HolderId> ids;
    if (!isNearBound()) {
        return ids;
    }
    const bool isAnyWaiting = std::any_of(m_holders.begin(), m_holders.end(), [](const std::pair<const HolderId, Holder> &entry) {
        return entry.second.isWaiting;
    });
    if (!isAnyWaiting && !isBeyondBound()) {
        return ids;
    }
    std::size_t remaining = totalBytes();
    const std::size_t freedBytes = m_maxBytes / freedFraction;
    const std::size_t target = m_maxBytes - freedBytes;
    const std::size_t otherBytes = m_runningBytes + m_outputBytes;
    for (const HolderId id : refusalOrder(now)) {
        const Holder &holder = m_holders.at(id);
        const bool isInTheWay = isAnyWaiting && remaining >= waitingThreshold() && isStalled(holder, now);
        const bool isTooMuch = isBeyondBound() && remaining > std::max(target, otherBytes + freedBytes);
        if (!isInTheWay && !isTooMuch) {
            break;
        }
        remaining -= holder.bytes;
        ids.push_back(id);
    }
    return ids;
}

}
