#include "servers/rollouts/versionaccess.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

/** Rows state times in milliseconds. */
constexpr Duration rowTimeResolution = std::chrono::milliseconds(2);

/** Canary and Raising may alternate; the others are never left for an earlier one. */
int finality(RolloutPhase phase)
{
    return phase == RolloutPhase::Canary || phase == RolloutPhase::Raising ? 0 : static_cast<int>(phase);
}

int rank(RolloutPhase phase)
{
    // Operators terminate the old endpoints once an order is completed, so that supersedes a reversion.
    return phase == RolloutPhase::Completed ? static_cast<int>(RolloutPhase::Reverted) + 1 : finality(phase);
}

}

bool VersionAccess::isFinished(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::Reverted;
}

bool VersionAccess::isSameOrder(const RolloutOrder &left, const RolloutOrder &right)
{
    const Duration difference = left.deadline - right.deadline;
    const bool hasSameContents = left.to == right.to && difference < rowTimeResolution && -difference < rowTimeResolution;
    return left.id == right.id && (left.era == right.era || hasSameContents);
}

bool VersionAccess::isNewer(const RolloutOrder &order, const RolloutOrder &than)
{
    return !isSameOrder(order, than) && (order.era == than.era ? order.id > than.id : order.era > than.era);
}

RolloutOrder VersionAccess::orderOf(const RolloutRow &row)
{
    RolloutOrder order;
    order.to = row.to;
    order.deadline = row.deadline - row.begun;
    order.id = row.order;
    order.era = row.era;
    return order;
}

void VersionAccess::setListed(const std::map<std::string, TimePoint> &usableSince, TimePoint now)
{
    m_listed = usableSince;
    for (const std::pair<const std::string, TimePoint> &entry : usableSince) {
        TimePoint &since = m_since.emplace(entry.first, entry.second).first->second;
        since = std::min(since, entry.second);
        m_lastUsable[entry.first] = now;
    }
    for (auto entry = m_lastUsable.begin(); entry != m_lastUsable.end();) {
        if (now - entry->second < versionMemory) {
            ++entry;
            continue;
        }
        m_since.erase(entry->first);
        m_reverted.erase(entry->first);
        m_replaced.erase(entry->first);
        m_named.erase(entry->first);
        entry = m_lastUsable.erase(entry);
    }
}

void VersionAccess::setOrder(const std::optional<RolloutOrder> &order, TimePoint now)
{
    m_order = order;
    update(now);
}

void VersionAccess::setRow(const std::optional<RolloutRow> &row, TimePoint now)
{
    // A store that was restored from an older copy does not undo what is known.
    if (!row) {
        m_isRowBehind = isRowCurrent();
        return;
    }
    if (m_row) {
        const RolloutOrder before = orderOf(*m_row);
        const RolloutOrder after = orderOf(*row);
        const bool isOlder = isSameOrder(after, before) ? rank(row->phase) < rank(m_row->phase) : isNewer(before, after);
        if (isOlder) {
            m_isRowBehind = isRowCurrent();
            return;
        }
    }
    m_isRowBehind = false;
    const bool isFirstOfOrder = !m_row || !isSameOrder(orderOf(*m_row), orderOf(*row));
    m_row = row;
    if (isFirstOfOrder) {
        recordEarlierReversions(now);
    }
    recordFinish(now);
    update(now);
}

void VersionAccess::ruleOutReverted(const std::string &version, TimePoint now)
{
    m_reverted.insert(version);
    m_lastUsable.emplace(version, now);
}

void VersionAccess::recordEarlierReversions(TimePoint now)
{
    for (const std::string &version : m_row->reverted) {
        ruleOutReverted(version, now);
    }
}

void VersionAccess::recordFinish(TimePoint now)
{
    if (m_row->phase == RolloutPhase::Reverted) {
        ruleOutReverted(m_row->to, now);
    } else if (m_row->phase == RolloutPhase::Completed) {
        m_reverted.erase(m_row->to);
        m_replaced.erase(m_row->to);
        for (const std::string &version : m_row->from) {
            if (version != m_row->to) {
                m_replaced.insert(version);
                m_lastUsable.emplace(version, now);
            }
        }
    }
}

void VersionAccess::update(TimePoint now)
{
    std::optional<RolloutOrder> newest = m_current;
    const auto isPast = [this](const RolloutOrder &order) {
        return std::any_of(m_pastOrders.begin(), m_pastOrders.end(), [&order](const RolloutOrder &past) {
            return isSameOrder(past, order);
        });
    };
    if (m_order && !isPast(*m_order) && (!newest || isNewer(*m_order, *newest))) {
        newest = m_order;
    }
    if (m_row && !isPast(orderOf(*m_row)) && (!newest || isNewer(orderOf(*m_row), *newest))) {
        newest = orderOf(*m_row);
    }
    if (newest && (!m_current || !isSameOrder(*newest, *m_current))) {
        if (m_current) {
            m_pastOrders.push_back(*m_current);
        }
        if (m_pastOrders.size() > maxPastOrders) {
            m_pastOrders.pop_front();
        }
        m_current = newest;
        m_currentSince = now;
        m_phase = RolloutPhase::Canary;
        m_permit.reset();
        m_permitReportedAt = timeNever;
        m_pendingGrants = 0;
        m_routeSeenAt.clear();
        m_counts.clear();
        m_named.insert(newest->to);
        m_lastUsable.emplace(newest->to, now);
    }
    if (isRowCurrent()) {
        // An order is identified in the era in which it was first acted upon.
        m_current->era = std::min(m_current->era, m_row->era);
        setPhase(m_row->phase, now);
    }
}

void VersionAccess::setPhase(RolloutPhase phase, TimePoint now)
{
    if (rank(phase) < rank(m_phase)) {
        return;
    }
    m_phase = phase;
    if (isFinished(phase)) {
        m_drainedOrder.reset();
    }
    if (isRowCurrent()) {
        m_row->phase = phase;
        recordFinish(now);
    }
}

bool VersionAccess::isRowCurrent() const
{
    return m_row && m_current && isSameOrder(orderOf(*m_row), *m_current);
}

bool VersionAccess::isTrying() const
{
    return m_current && (m_phase == RolloutPhase::Canary || m_phase == RolloutPhase::Raising);
}

void VersionAccess::setPermit(const RolloutPermit &permit, TimePoint reportedAt, TimePoint now)
{
    if (!m_current || !permit.isHolder || reportedAt < m_currentSince || reportedAt > now) {
        return;
    }
    // A permit's phase was written to the row before, so it holds even if the permit has expired.
    setPhase(permit.phase, now);
    if (m_permitReportedAt == timeNever || reportedAt >= m_permitReportedAt) {
        m_permit = permit;
        m_permitReportedAt = reportedAt;
    }
}

bool VersionAccess::isUsable(const std::string &version) const
{
    return m_listed.count(version) != 0;
}

bool VersionAccess::isRuledOut(const std::string &version) const
{
    return m_reverted.count(version) != 0 || m_replaced.count(version) != 0;
}

bool VersionAccess::isDrainedOrderPending() const
{
    return m_drainedOrder && (!m_row || isSameOrder(orderOf(*m_row), *m_drainedOrder));
}

std::set<std::string> VersionAccess::earliestOf(const std::set<std::string> &versions) const
{
    std::set<std::string> result;
    TimePoint earliest = TimePoint::max();
    for (const std::string &version : versions) {
        const TimePoint since = m_since.at(version);
        if (since < earliest) {
            result.clear();
            earliest = since;
        }
        if (since == earliest) {
            result.insert(version);
        }
    }
    return result;
}

std::set<std::string> VersionAccess::usableOf(const std::vector<std::string> &versions) const
{
    std::set<std::string> usable;
    for (const std::string &version : versions) {
        if (isUsable(version) && !isRuledOut(version)) {
            usable.insert(version);
        }
    }
    const std::set<std::string> earliest = earliestOf(usable);
    std::set<std::string> result;
    for (const std::string &version : usable) {
        if (earliest.count(version) != 0 || m_named.count(version) != 0) {
            result.insert(version);
        }
    }
    return result;
}

std::set<std::string> VersionAccess::allowedVersions() const
{
    if (isDrainedOrderPending()) {
        return {m_drainedOrder->to};
    }
    std::set<std::string> others;
    for (const std::pair<const std::string, TimePoint> &entry : m_listed) {
        if (!isRuledOut(entry.first) && !(m_current && entry.first == m_current->to)) {
            others.insert(entry.first);
        }
    }
    if (!m_current) {
        return earliestOf(others);
    }
    const std::string &to = m_current->to;
    if (m_phase == RolloutPhase::Closing || (m_phase == RolloutPhase::Completed && isUsable(to))) {
        return {to};
    }
    if (!m_row) {
        // The order may be one for the version in use: then it is the one that was known before all others.
        const bool isInUse = isUsable(to) && std::all_of(m_since.begin(), m_since.end(), [this, &to](const auto &entry) {
                                 return entry.first == to || isRuledOut(entry.first) || m_since.at(to) < entry.second;
                             });
        return isInUse ? std::set<std::string>{to} : earliestOf(others);
    }
    if (!isRowCurrent() && m_row->phase == RolloutPhase::Closing) {
        return {m_row->to};
    }
    std::vector<std::string> inUse = versionsInUse(*m_row);
    if (isRowCurrent()) {
        inUse.erase(std::remove(inUse.begin(), inUse.end(), to), inUse.end());
    }
    const std::set<std::string> usable = usableOf(inUse);
    return usable.empty() ? earliestOf(others) : usable;
}

bool VersionAccess::isPinnedAllowed(const std::string &version, const std::set<std::string> &allowed) const
{
    if (allowed.count(version) != 0) {
        return true;
    }
    if (!m_current || isRuledOut(version) || isDrainedOrderPending() || m_phase == RolloutPhase::Completed) {
        return false;
    }
    if (version == m_current->to) {
        return false;
    }
    const std::vector<std::string> inUse = m_row ? versionsInUse(*m_row) : std::vector<std::string>();
    return m_named.count(version) != 0 || std::find(inUse.begin(), inUse.end(), version) != inUse.end();
}

VersionAccess::Access VersionAccess::accessTo(const std::set<std::string> &allowed) const
{
    Access access;
    const auto exclude = [&access, &allowed](const std::string &version) {
        if (allowed.count(version) == 0) {
            access.excluded.insert(version);
        }
    };
    for (const std::pair<const std::string, TimePoint> &entry : m_listed) {
        exclude(entry.first);
    }
    // Endpoints of these may be listed again before the next call of setListed().
    for (const std::pair<const std::string, TimePoint> &entry : m_lastUsable) {
        exclude(entry.first);
    }
    if (m_row) {
        exclude(m_row->to);
        std::for_each(m_row->from.begin(), m_row->from.end(), exclude);
    }
    if (m_current) {
        exclude(m_current->to);
    }
    return access;
}

std::int64_t VersionAccess::sentNew() const
{
    std::int64_t total = 0;
    for (const std::pair<const std::pair<std::string, bool>, VersionCounts> &entry : m_counts) {
        total += entry.first.second ? entry.second.sent : 0;
    }
    return total;
}

std::int64_t VersionAccess::sentNew(const std::string &route) const
{
    const auto found = m_counts.find({route, true});
    return found == m_counts.end() ? 0 : found->second.sent;
}

std::int64_t VersionAccess::freeGrants(TimePoint now) const
{
    if (!isTrying() || !m_permit || now - m_permitReportedAt >= m_permit->validity) {
        return 0;
    }
    return std::max<std::int64_t>(0, m_permit->granted - sentNew() - m_pendingGrants);
}

bool VersionAccess::isGrantDue(const std::string &route, TimePoint now) const
{
    const std::int64_t own = sentNew(route);
    const std::int64_t behind = std::count_if(m_routeSeenAt.begin(), m_routeSeenAt.end(), [this, &route, own, now](const auto &entry) {
        const bool isOther = entry.first != route && now - entry.second < routeMemory;
        const std::int64_t sent = sentNew(entry.first);
        return isOther && (sent * routeImbalance < own || (sent == 0 && own > 0));
    });
    return freeGrants(now) > behind;
}

VersionAccess::Access VersionAccess::consumeGrant()
{
    ++m_pendingGrants;
    Access access = accessTo({m_current->to});
    access.required = m_current->to;
    access.canaryEndpoints = m_permit->canaryEndpoints;
    return access;
}

std::optional<VersionAccess::Access> VersionAccess::decide(const std::string &route, const std::optional<std::string> &pinned,
                                                           TimePoint now)
{
    const std::set<std::string> allowed = allowedVersions();
    const bool mayGrant = isTrying() && allowed.count(m_current->to) == 0 && isUsable(m_current->to);
    if (pinned) {
        if (mayGrant && *pinned == m_current->to) {
            return freeGrants(now) > 0 ? std::optional<Access>(consumeGrant()) : std::nullopt;
        }
        return isPinnedAllowed(*pinned, allowed) ? std::optional<Access>(accessTo({*pinned})) : std::nullopt;
    }
    if (!isTrying()) {
        return accessTo(allowed);
    }
    // While the share is raised, grants accrue by the share, so they are used as they come.
    m_routeSeenAt[route] = now;
    if (mayGrant && freeGrants(now) > 0 && (allowed.empty() || isGrantDue(route, now))) {
        return consumeGrant();
    }
    return accessTo(allowed);
}

void VersionAccess::returnGrant(TimePoint)
{
    m_pendingGrants = std::max<std::int64_t>(0, m_pendingGrants - 1);
}

bool VersionAccess::maySend(const std::string &version, bool isGranted, bool isPinned, TimePoint now) const
{
    const std::set<std::string> allowed = allowedVersions();
    if (allowed.count(version) != 0) {
        return true;
    }
    if (isGranted) {
        const bool isPermitValid = m_permit && now - m_permitReportedAt < m_permit->validity;
        return isTrying() && version == m_current->to && m_pendingGrants > 0 && isPermitValid;
    }
    return isPinned && isPinnedAllowed(version, allowed);
}

const std::optional<RolloutOrder> &VersionAccess::order() const
{
    return m_current;
}

bool VersionAccess::isReporting(TimePoint) const
{
    // After a restore, the holder may have to learn from reports that the order has finished.
    return m_current && (!isFinished(m_phase) || m_isRowBehind);
}

RolloutPhase VersionAccess::phase(TimePoint) const
{
    return m_phase;
}

bool VersionAccess::isNewVersion(const std::string &version) const
{
    return m_current && version == m_current->to;
}

std::string VersionAccess::versionOf(bool isNew) const
{
    return isNew && m_current ? m_current->to : unnamedVersion;
}

void VersionAccess::recordSent(const std::string &route, bool isNew)
{
    recordSentTo(route, versionOf(isNew));
}

void VersionAccess::recordEnded(const std::string &route, bool isNew, std::optional<Duration> time)
{
    recordEndedAt(route, versionOf(isNew), time);
}

void VersionAccess::recordWithdrawn(const std::string &route, bool isNew)
{
    recordWithdrawnFrom(route, versionOf(isNew));
}

void VersionAccess::recordSentTo(const std::string &route, const std::string &version)
{
    ++m_running[version];
    if (!m_current || isFinished(m_phase)) {
        return;
    }
    const bool isNew = isNewVersion(version);
    if (isNew && m_pendingGrants > 0) {
        --m_pendingGrants;
    }
    ++m_counts[{route, isNew}].sent;
}

void VersionAccess::recordEndedAt(const std::string &route, const std::string &version, std::optional<Duration> time)
{
    endRunning(version);
    countEnded(route, isNewVersion(version), time);
}

void VersionAccess::recordWithdrawnFrom(const std::string &, const std::string &version)
{
    // The attempt stays counted as sent, since it has reached its endpoint, but not as ended.
    endRunning(version);
}

void VersionAccess::countEnded(const std::string &route, bool isNew, std::optional<Duration> time)
{
    const auto found = m_counts.find({route, isNew});
    // Attempts that were sent before the order are no evidence.
    if (found == m_counts.end() || found->second.ended >= found->second.sent) {
        return;
    }
    ++found->second.ended;
    if (time) {
        ++found->second.times[VersionCounts::timeClass(*time)];
    } else {
        ++found->second.failed;
    }
}

void VersionAccess::endRunning(const std::string &version)
{
    auto found = m_running.find(version);
    if (found == m_running.end()) {
        // The caller of recordEnded() does not know versions, and the order has changed since the attempt was sent.
        found = std::find_if(m_running.begin(), m_running.end(), [this](const auto &entry) {
            return !isNewVersion(entry.first);
        });
    }
    if (found == m_running.end()) {
        found = m_running.begin();
    }
    if (found != m_running.end() && --found->second <= 0) {
        m_running.erase(found);
    }
}

std::int64_t VersionAccess::oldRunning() const
{
    std::int64_t total = 0;
    for (const std::pair<const std::string, std::int64_t> &entry : m_running) {
        total += isNewVersion(entry.first) ? 0 : entry.second;
    }
    return total;
}

RolloutReport VersionAccess::report(TimePoint) const
{
    RolloutReport report;
    report.counts = m_counts;
    report.phase = m_phase;
    report.oldRunning = oldRunning();
    if (m_current && m_phase == RolloutPhase::Closing && report.oldRunning == 0) {
        m_drainedOrder = m_current;
    }
    return report;
}

}
