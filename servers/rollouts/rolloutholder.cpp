#include "servers/rollouts/rolloutholder.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace citronspar
{

namespace
{

/** Multiples of it modulo 1 are spread evenly, however many there are. */
constexpr double goldenRatio = 0.6180339887498949;

/** Rows state times in milliseconds. */
constexpr Duration rowTimeResolution = std::chrono::milliseconds(2);

bool isSameDuration(Duration left, Duration right)
{
    return left - right < rowTimeResolution && right - left < rowTimeResolution;
}

/** Canary and Raising differ only in speed, so a row that is back in Canary is not repaired. */
int finality(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
    case RolloutPhase::Raising:
        return 0;
    case RolloutPhase::Closing:
        return 1;
    case RolloutPhase::Reverted:
        return 2;
    case RolloutPhase::Completed:
        // Operators terminate the old endpoints at once, so nothing supersedes it.
        return 3;
    }
    return 0;
}

/** Incarnations of a daemon grow. */
std::int64_t incarnation(const std::string &nameAndIncarnation)
{
    const std::size_t separator = nameAndIncarnation.rfind('#');
    return separator == std::string::npos ? 0 : std::strtoll(nameAndIncarnation.c_str() + separator + 1, nullptr, 10);
}

const char *const reportedReason = "entry daemons know of this phase, which the store has lost";

/** The most requests that may reach a version which is not judged sound, out of @p counted ones. */
std::int64_t exposureBound(const RolloutBounds &bounds, std::int64_t counted)
{
    return static_cast<std::int64_t>(std::floor(bounds.exposureShare * static_cast<double>(counted) + bounds.exposureSlack));
}

bool hasVersion(const std::vector<std::string> &versions, const std::string &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

}

RolloutHolder::RolloutHolder(Identity self, RolloutBounds bounds, Duration keyRevocation)
    : m_self(std::move(self))
    , m_bounds(bounds)
    , m_keyRevocation(keyRevocation)
{
}

std::string RolloutHolder::daemonName(const std::string &nameAndIncarnation)
{
    return nameAndIncarnation.substr(0, nameAndIncarnation.rfind('#'));
}

bool RolloutHolder::isFinished(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::Reverted;
}

bool RolloutHolder::isOf(const RolloutRow &row, const RolloutOrder &order)
{
    // The number of an order means nothing in another era, so there the contents have to be the same too.
    return row.order == order.id
        && (row.era == order.era || (row.to == order.to && isSameDuration(row.deadline - row.begun, order.deadline)));
}

bool RolloutHolder::isSameOrder(const RolloutRow &left, const RolloutRow &right)
{
    return left.order == right.order
        && (left.era == right.era || (left.to == right.to && isSameDuration(left.deadline - left.begun, right.deadline - right.begun)));
}

bool RolloutHolder::isBehind(const RolloutRow &row, const RolloutRow &known)
{
    if (!isSameOrder(row, known)) {
        return row.era == known.era ? row.order < known.order : row.era < known.era;
    }
    if (finality(row.phase) != finality(known.phase)) {
        return finality(row.phase) < finality(known.phase);
    }
    return row.term != known.term ? row.term < known.term : row.exposed < known.exposed;
}

bool RolloutHolder::isMove(const RolloutRow &row)
{
    return !row.from.empty() && !hasVersion(row.from, row.to);
}

TimePoint RolloutHolder::localTime(Duration storeTime) const
{
    return TimePoint(storeTime + m_storeOffset);
}

Duration RolloutHolder::storeTime(TimePoint time) const
{
    return time.time_since_epoch() - m_storeOffset;
}

void RolloutHolder::endTerm()
{
    m_isHolding = false;
    m_claimedTerm = 0;
    m_decidedFinish.reset();
    m_lastWriteAt = timeNever;
    for (std::pair<const std::string, Reporter> &entry : m_reporters) {
        entry.second.grantBase = 0;
        entry.second.granted = 0;
    }
}

void RolloutHolder::beginTerm(TimePoint now)
{
    m_isHolding = true;
    m_termConfirmedAt = now;
    m_phaseSince = now;
    // Whatever earlier holders have granted is covered by the exposure that the row states now.
    m_baseExposed = m_known->exposed;
    for (std::pair<const std::string, Reporter> &entry : m_reporters) {
        entry.second.grantBase = entry.second.sentNew;
        entry.second.granted = 0;
    }
}

void RolloutHolder::setOrder(const RolloutOrder &order, TimePoint now)
{
    if (m_order) {
        if (order.era < m_orderRowEra || (order.era == m_orderRowEra && order.id <= m_orderRowVersion)) {
            return;
        }
        if (order.era > m_orderRowEra) {
            // Daemons that know a later row than the restored one write it again before others take the row for abandoned.
            m_rowChangedAt = now;
            m_eraChangedAt = now;
            m_needsReread = true;
        }
        const bool hasSameContents
            = order.id == m_order->id && order.to == m_order->to && isSameDuration(order.deadline, m_order->deadline);
        if (hasSameContents) {
            m_orderRowEra = order.era;
            m_orderRowVersion = order.id;
            return;
        }
        const auto past = std::find_if(m_pastOrders.begin(), m_pastOrders.end(), [&order](const RolloutOrder &candidate) {
            return candidate.id == order.id && candidate.era != order.era && candidate.to == order.to
                && isSameDuration(candidate.deadline, order.deadline);
        });
        if (past != m_pastOrders.end()) {
            // The restored store has lost the later order. It goes on, conditional on the row that the store has now, and keeps
            // its era, so that any order written from now on is newer.
            m_orderRowEra = order.era;
            m_orderRowVersion = order.id;
            return;
        }
        m_pastOrders.push_back(*m_order);
        if (m_pastOrders.size() > maxPastOrders) {
            m_pastOrders.pop_front();
        }
    }
    m_order = order;
    m_orderRowEra = order.era;
    m_orderRowVersion = order.id;
    m_orderSeenAt = now;
    endTerm();
    m_reporters.clear();
    m_lastReportAt = timeNever;
    m_highestExposed = 0;
    m_noGrantsUntil = timeNever;
    m_judge = VersionJudge();
    m_judgement = VersionJudge::Judgement();
    m_judgedAt = timeNever;
    if (m_known && isOf(*m_known, order)) {
        m_highestExposed = m_known->exposed;
    }
}

void RolloutHolder::setRow(const std::optional<RolloutRow> &row, std::int64_t version, Duration storeOffset, TimePoint now)
{
    m_storeOffset = storeOffset;
    if (m_isHolding && !isFinished(m_known->phase) && !needsRow() && version < m_rowVersion) {
        // A late notice of a row that this daemon has replaced.
        return;
    }
    m_needsReread = false;
    if (!m_isRowRead || version != m_rowVersion) {
        m_rowVersion = version;
        m_rowChangedAt = now;
    }
    m_isRowRead = true;
    m_rowReadAt = now;
    if (row && m_order && isOf(*row, *m_order)) {
        // An order is identified in the era in which it was first acted upon.
        m_order->era = std::min(m_order->era, row->era);
        m_highestExposed = std::max(m_highestExposed, row->exposed);
    }
    m_isStoreBehind = m_known && (!row || isBehind(*row, *m_known));
    if (m_isStoreBehind) {
        // Until the row is written again, another daemon may take over with a lower exposure.
        m_lastWriteAt = timeNever;
        return;
    }
    if (!row) {
        return;
    }
    const bool isNewPhase = !m_known || m_known->phase != row->phase;
    m_known = row;
    const bool isMine = m_order && isOf(*row, *m_order) && m_claimedTerm != 0 && row->holder == m_self.daemon && row->term == m_claimedTerm;
    if (!isMine && (m_isHolding || (m_claimedTerm != 0 && !m_pendingRow))) {
        endTerm();
    } else if (isMine && !m_isHolding) {
        beginTerm(now);
    } else if (isMine && isNewPhase) {
        m_phaseSince = now;
    }
}

void RolloutHolder::setFleet(const Fleet &fleet, TimePoint now)
{
    if (!m_fleet) {
        m_watchingSince = now;
    }
    m_fleet = fleet;
}

std::int64_t RolloutHolder::totalSent() const
{
    std::int64_t total = 0;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        total += entry.second.sent;
    }
    return total;
}

std::int64_t RolloutHolder::totalSentNew() const
{
    std::int64_t total = 0;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        total += entry.second.sentNew;
    }
    return total;
}

std::int64_t RolloutHolder::totalGranted() const
{
    std::int64_t total = 0;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        total += entry.second.granted;
    }
    return total;
}

RolloutBounds RolloutHolder::remainingBounds() const
{
    RolloutBounds bounds = m_bounds;
    for (const EarlierExposure &earlier : m_known->earlier) {
        if (earlier.to == m_known->to) {
            // A version that was judged sound may have had more. Then nothing is left of the bounds, but no more is owed. What
            // earlier orders have left of their share is not added either, as the bounds hold for each order, too.
            const std::int64_t exposed = std::min(earlier.exposed, exposureBound(m_bounds, earlier.counted));
            const double share = m_bounds.exposureShare * static_cast<double>(earlier.counted);
            bounds.exposureSlack -= std::max(0.0, static_cast<double>(exposed) - share);
        }
    }
    return bounds;
}

RolloutPlan RolloutHolder::plan() const
{
    return RolloutPlan(remainingBounds());
}

RolloutPlan::Progress RolloutHolder::progress(TimePoint now) const
{
    RolloutPlan::Progress progress{};
    progress.sinceOrder = now - localTime(m_known->begun);
    progress.deadline = m_known->deadline - m_known->begun;
    progress.phase = m_known->phase;
    progress.inPhase = now - m_phaseSince;
    progress.counted = std::max(m_known->counted, totalSent());
    progress.exposed = m_baseExposed + totalGranted();
    progress.verdict = m_judgement.verdict;
    progress.newEndpoints = m_fleet ? m_fleet->newEndpoints : 0;
    progress.oldEndpoints = m_fleet ? m_fleet->oldEndpoints : 0;
    return progress;
}

double RolloutHolder::share(TimePoint now) const
{
    if (m_known->phase == RolloutPhase::Closing) {
        return 1;
    }
    return m_known->phase == RolloutPhase::Raising ? std::clamp(plan().share(progress(now)), 0.0, 1.0) : 0;
}

std::int64_t RolloutHolder::exposureTarget(TimePoint now) const
{
    if (m_fleet->newEndpoints <= 0 || now < m_noGrantsUntil) {
        return m_known->exposed;
    }
    const RolloutPlan::Progress current = progress(now);
    const std::int64_t bound = exposureBound(remainingBounds(), current.counted);
    std::int64_t target = m_known->exposed;
    if (m_known->phase == RolloutPhase::Canary) {
        target = std::min(plan().canaryBudget(current.counted), bound);
    } else if (m_known->phase == RolloutPhase::Raising) {
        double rate = 0;
        for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
            const bool isPresent = !entry.second.isSuperseded && now - entry.second.reportedAt < reportMemory;
            rate += isPresent ? entry.second.rate : 0;
        }
        const std::int64_t advance = static_cast<std::int64_t>(std::ceil(share(now) * rate * toSeconds(grantAdvance)));
        const std::int64_t wanted = m_baseExposed + totalGranted() + advance;
        // Before the version is judged sound, it may turn out bad, so the bound holds for all that is granted.
        target = m_judgement.verdict == VersionJudge::Verdict::Good ? wanted : std::min(wanted, bound);
    }
    return std::max(target, m_known->exposed);
}

bool RolloutHolder::isDeadlineOver(TimePoint now) const
{
    return now >= localTime(m_known->deadline);
}

bool RolloutHolder::mayGrant(TimePoint now) const
{
    if (!m_isHolding || m_isStoreBehind || m_lastWriteAt == timeNever || now - m_lastWriteAt >= grantTimeout || now < m_noGrantsUntil) {
        return false;
    }
    const bool isTrying = m_known->phase == RolloutPhase::Canary || m_known->phase == RolloutPhase::Raising;
    return isTrying && !isDeadlineOver(now) && m_judgement.verdict != VersionJudge::Verdict::Bad && m_fleet && m_fleet->newEndpoints > 0;
}

void RolloutHolder::grant(Reporter &reporter, TimePoint now)
{
    const std::int64_t total = m_known->exposed - m_baseExposed;
    const std::int64_t free = total - totalGranted();
    if (free <= 0) {
        return;
    }
    std::int64_t wanted = 0;
    if (m_known->phase == RolloutPhase::Canary) {
        std::int64_t weights = 0;
        for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
            weights += entry.second.sent + 1;
        }
        // Rounded up: with more entry daemons than requests, the first ones to report get one each.
        const double part = static_cast<double>(reporter.sent + 1) / static_cast<double>(weights);
        wanted = static_cast<std::int64_t>(std::ceil(static_cast<double>(total) * part)) - reporter.granted;
    } else {
        wanted = static_cast<std::int64_t>(std::floor(reporter.accrued));
        reporter.accrued -= static_cast<double>(std::min(wanted, free));
        // After a time without grants, no more than those of one window are made up for.
        reporter.accrued = std::min(reporter.accrued, 1 + share(now) * reporter.rate * toSeconds(rateWindow));
    }
    reporter.granted += std::clamp<std::int64_t>(wanted, 0, free);
}

RolloutPermit RolloutHolder::handleReport(const RolloutReport &report, TimePoint now)
{
    RolloutPermit permit;
    if (!m_order) {
        return permit;
    }
    m_lastReportAt = now;
    const auto existing = m_reporters.find(report.daemon);
    bool isSuperseded = false;
    if (existing == m_reporters.end()) {
        const std::string name = daemonName(report.daemon);
        for (std::pair<const std::string, Reporter> &entry : m_reporters) {
            if (daemonName(entry.first) != name) {
                continue;
            }
            // A report of an earlier incarnation may arrive late.
            const bool isLater = incarnation(report.daemon) > incarnation(entry.first);
            entry.second.isSuperseded = entry.second.isSuperseded || isLater;
            isSuperseded = isSuperseded || !isLater;
        }
    }
    Reporter &reporter = m_reporters[report.daemon];
    reporter.isSuperseded = reporter.isSuperseded || isSuperseded;
    std::int64_t sent = 0;
    std::int64_t sentNew = 0;
    for (const std::pair<const std::pair<std::string, bool>, VersionCounts> &entry : report.counts) {
        sent += entry.second.sent;
        sentNew += entry.first.second ? entry.second.sent : 0;
    }
    // Counts only grow, so a report with lower ones was overtaken by a later one.
    const bool isCurrent = sent >= reporter.sent && sentNew >= reporter.sentNew && !reporter.isSuperseded;
    if (isCurrent) {
        if (reporter.rateWindowBegan == timeNever) {
            reporter.rateWindowBegan = now;
            reporter.rateWindowSent = sent;
        } else if (now - reporter.rateWindowBegan >= rateWindow) {
            reporter.rate = static_cast<double>(sent - reporter.rateWindowSent) / toSeconds(now - reporter.rateWindowBegan);
            reporter.rateWindowBegan = now;
            reporter.rateWindowSent = sent;
        }
        if (existing == m_reporters.end()) {
            reporter.grantBase = sentNew;
            reporter.sent = sent;
            // Spread over the entry daemons, so that they do not all get their first grant at once.
            reporter.accrued = std::fmod(static_cast<double>(m_reporters.size()) * goldenRatio, 1.0);
        }
        if (m_isHolding && m_known && m_known->phase == RolloutPhase::Raising) {
            reporter.accrued += share(now) * static_cast<double>(sent - reporter.sent);
        }
        reporter.last = report;
        reporter.reportedAt = now;
        reporter.sent = sent;
        reporter.sentNew = sentNew;
    }
    if (!m_known || !isOf(*m_known, *m_order)) {
        return permit;
    }
    if (!m_isHolding) {
        if (isFinished(m_known->phase)) {
            permit.isHolder = true;
            permit.phase = m_known->phase;
        } else if (m_known->holder != m_self.daemon) {
            permit.holderAddress = m_known->holderAddress;
        }
        return permit;
    }
    permit.isHolder = true;
    permit.phase = m_known->phase;
    permit.holderAddress = m_self.address;
    if (mayGrant(now) && isCurrent) {
        grant(reporter, now);
        permit.validity = permitValidity;
        permit.share = share(now);
        permit.canaryEndpoints = std::max(plan().canaryEndpoints(progress(now)), 0);
    }
    permit.granted = reporter.grantBase + reporter.granted;
    return permit;
}

void RolloutHolder::judge(TimePoint now)
{
    if (!m_isHolding || (m_judgedAt != timeNever && now - m_judgedAt < judgementInterval)) {
        return;
    }
    m_judgedAt = now;
    VersionCountsByRoute totals;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        for (const std::pair<const std::pair<std::string, bool>, VersionCounts> &counts : entry.second.last.counts) {
            VersionCounts &total = totals[counts.first];
            total.sent += counts.second.sent;
            total.ended += counts.second.ended;
            total.failed += counts.second.failed;
            for (std::size_t i = 0; i < VersionCounts::timeClasses; ++i) {
                total.times[i] += counts.second.times[i];
            }
        }
    }
    m_judge.update(totals, now);
    m_judgement = m_judge.judgement(now);
}

bool RolloutHolder::isDrained(TimePoint now) const
{
    // A daemon that has just begun to listen does not know yet which entry daemons are in touch.
    if (!m_fleet || now - m_watchingSince < m_keyRevocation) {
        return false;
    }
    // Entry daemons that started with the restored row may use old versions although their predecessors had reported closing.
    if (m_eraChangedAt != timeNever && now - m_eraChangedAt < m_keyRevocation) {
        return false;
    }
    const TimePoint silentUntil
        = std::min(m_phaseSince + m_keyRevocation, std::max(m_phaseSince + rowDelay, localTime(m_known->deadline) - completionMargin));
    std::map<std::string, TimePoint> heard = m_fleet->entryDaemons;
    std::map<std::string, const Reporter *> reports;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        if (entry.second.isSuperseded) {
            continue;
        }
        const std::string name = daemonName(entry.first);
        reports[name] = &entry.second;
        TimePoint &heardAt = heard.emplace(name, entry.second.reportedAt).first->second;
        heardAt = std::max(heardAt, entry.second.reportedAt);
    }
    for (const std::pair<const std::string, TimePoint> &entry : heard) {
        if (now - entry.second >= m_keyRevocation) {
            // Out of touch with this daemon, but perhaps not with the store: it has to have had the time to read the row.
            if (now < silentUntil) {
                return false;
            }
            continue;
        }
        const auto found = reports.find(entry.first);
        if (found == reports.end()) {
            return false;
        }
        const RolloutReport &report = found->second->last;
        // A daemon that is heard but reports no more has restarted, and may not know the phase yet.
        if (entry.second - found->second->reportedAt > reportMemory) {
            return false;
        }
        const bool isClosing = report.phase == RolloutPhase::Closing || report.phase == RolloutPhase::Completed;
        if (!isClosing || report.oldRunning > 0) {
            return false;
        }
    }
    return true;
}

RolloutPhase RolloutHolder::reportedPhase() const
{
    RolloutPhase phase = RolloutPhase::Canary;
    for (const std::pair<const std::string, Reporter> &entry : m_reporters) {
        if (finality(entry.second.last.phase) > finality(phase)) {
            phase = entry.second.last.phase;
        }
    }
    return phase;
}

void RolloutHolder::addEarlierOrders(RolloutRow &row) const
{
    if (!m_known) {
        return;
    }
    std::vector<std::string> reverted = m_known->reverted;
    if (m_known->phase == RolloutPhase::Reverted && !hasVersion(reverted, m_known->to)) {
        reverted.push_back(m_known->to);
    }
    std::copy_if(reverted.begin(), reverted.end(), std::back_inserter(row.reverted), [&](const std::string &version) {
        const bool isCompleted = m_known->phase == RolloutPhase::Completed && version == m_known->to;
        return !isCompleted && (version == row.to || hasVersion(m_fleet->oldVersions, version));
    });
    std::vector<EarlierExposure> earlier = m_known->earlier;
    const auto known = std::find_if(earlier.begin(), earlier.end(), [this](const EarlierExposure &exposure) {
        return exposure.to == m_known->to;
    });
    if (m_known->phase == RolloutPhase::Completed) {
        earlier.erase(known, known == earlier.end() ? known : std::next(known));
    } else if (known == earlier.end()) {
        earlier.push_back(EarlierExposure{m_known->to, m_known->exposed, m_known->counted, m_known->deadline});
    } else {
        known->exposed += m_known->exposed;
        known->counted += m_known->counted;
        known->deadline = std::max(known->deadline, m_known->deadline);
    }
    std::copy_if(earlier.begin(), earlier.end(), std::back_inserter(row.earlier), [&row](const EarlierExposure &exposure) {
        return row.begun < exposure.deadline;
    });
}

RolloutRow RolloutHolder::firstRow(TimePoint now) const
{
    RolloutRow row;
    row.order = m_order->id;
    row.era = m_order->era;
    row.to = m_order->to;
    row.begun = storeTime(m_orderSeenAt);
    row.deadline = row.begun + m_order->deadline;
    row.term = (m_known ? m_known->term : 0) + 1;
    addEarlierOrders(row);
    const std::vector<std::string> used = m_known ? versionsInUse(*m_known) : std::vector<std::string>();
    const bool isUsedListed = std::any_of(used.begin(), used.end(), [this](const std::string &version) {
        return version == m_order->to || hasVersion(m_fleet->oldVersions, version);
    });
    row.from = isUsedListed ? used : m_fleet->oldVersions;
    if (hasVersion(row.from, row.to)) {
        row.phase = RolloutPhase::Closing;
        row.reason = "the version is in use";
    } else if (row.from.empty() && m_fleet->newEndpoints > 0) {
        row.phase = RolloutPhase::Closing;
        row.reason = "no other version is listed";
    } else if (now - m_orderSeenAt >= m_order->deadline) {
        row.phase = RolloutPhase::Reverted;
        row.reason = "the deadline has passed";
    } else {
        row.phase = RolloutPhase::Canary;
        row.reason = "new order";
    }
    return row;
}

RolloutHolder::Write RolloutHolder::writeOf(const RolloutRow &row, bool isStatusDue) const
{
    Write write;
    write.row = row;
    write.row.era = m_order->era;
    write.row.holder = m_self.daemon;
    write.row.holderAddress = m_self.address;
    write.expectedRow = m_rowVersion;
    write.expectedOrder = m_orderRowVersion;
    write.isStatusDue = isStatusDue;
    return write;
}

std::optional<RolloutHolder::Write> RolloutHolder::nextWrite(TimePoint now) const
{
    const bool isCalled = m_lastReportAt != timeNever && now - m_lastReportAt < reportMemory;
    const bool isAbandoned = now - m_rowChangedAt >= takeoverDelay;
    // Entry daemons act in a phase only after it was written. If the row shows an earlier one, a restored store has lost it.
    const RolloutPhase reported = reportedPhase();
    const bool isKnownCurrent = m_known && isOf(*m_known, *m_order);
    if (!isKnownCurrent) {
        const bool isNewer = m_known && (m_known->era == m_order->era ? m_known->order > m_order->id : m_known->era > m_order->era);
        // Others may know a later row that a restored store has lost; a daemon that has just started can't tell.
        const bool isRepairPossible
            = (m_eraChangedAt != timeNever && now - m_eraChangedAt < takeoverDelay) || now - m_watchingSince < takeoverDelay;
        if (isNewer || !isCalled || isRepairPossible) {
            return std::nullopt;
        }
        RolloutRow row = firstRow(now);
        if (finality(reported) > finality(row.phase)) {
            row.phase = reported;
            row.reason = reportedReason;
        }
        return writeOf(row, true);
    }
    RolloutRow row = *m_known;
    if (isFinished(row.phase)) {
        if (m_isStoreBehind && (row.holder == m_self.daemon || now - m_rowChangedAt >= repairDelay)) {
            return writeOf(row, true);
        }
        return std::nullopt;
    }
    if (!m_isHolding && m_isStoreBehind && !isAbandoned && now - m_rowChangedAt >= repairDelay) {
        // The holder may have died with the store. What it has permitted must not be forgotten, so the row is written as it was.
        Write repair = writeOf(row, true);
        repair.row.holder = row.holder;
        repair.row.holderAddress = row.holderAddress;
        return repair;
    }
    if (!m_isHolding) {
        if (!isCalled || !isAbandoned) {
            return std::nullopt;
        }
        row.term += 1;
        // Rows of a restored store may state less than was permitted.
        row.exposed = std::max({row.exposed, m_highestExposed, totalSentNew()});
        if (finality(reported) > finality(row.phase)) {
            row.phase = reported;
            row.reason = reportedReason;
        }
        return writeOf(row, m_isStoreBehind || isFinished(row.phase));
    }
    row.counted = std::max(row.counted, totalSent());
    RolloutPhase next = row.phase;
    std::string reason = m_judgement.reason;
    if (finality(reported) > finality(row.phase)) {
        next = reported;
        reason = reportedReason;
    } else if (m_decidedFinish) {
        next = *m_decidedFinish;
        reason = m_decidedReason;
    } else if (row.phase != RolloutPhase::Closing && isDeadlineOver(now)) {
        next = RolloutPhase::Reverted;
        reason = "undecided at the deadline: " + m_judgement.reason;
    } else if (row.phase == RolloutPhase::Canary && row.from.empty()) {
        // No endpoint was listed when the order came.
        row.from = m_fleet->oldVersions;
        if (row.from.empty() && m_fleet->newEndpoints > 0) {
            next = RolloutPhase::Closing;
            reason = "no other version is listed";
        }
    } else if (isMove(row)) {
        next = plan().nextPhase(progress(now));
    }
    if (next == RolloutPhase::Closing && row.phase == RolloutPhase::Closing && isDrained(now)) {
        next = RolloutPhase::Completed;
        reason = "nothing runs at other versions";
    }
    // Only Closing leads to Completed, and no phase leads back.
    if (next != row.phase && (next == RolloutPhase::Reverted || static_cast<int>(next) > static_cast<int>(row.phase))) {
        row.phase = next;
        row.reason = reason;
        return writeOf(row, isFinished(next) || m_isStoreBehind);
    }
    if (m_isStoreBehind) {
        return writeOf(row, true);
    }
    const std::int64_t target = exposureTarget(now);
    const bool isExhausted = target > row.exposed && totalGranted() >= row.exposed - m_baseExposed;
    const bool isAttemptOld = m_lastAttemptAt == timeNever || now - m_lastAttemptAt >= exposureWriteInterval;
    const bool isHeartbeatDue = m_lastWriteAt == timeNever || now - m_lastWriteAt >= heartbeatInterval;
    if (isAttemptOld && (isHeartbeatDue || isExhausted)) {
        row.exposed = std::max(row.exposed, target);
        return writeOf(row, false);
    }
    return std::nullopt;
}

std::optional<RolloutHolder::Write> RolloutHolder::dueWrite(TimePoint now)
{
    if (!m_order || !m_fleet) {
        return std::nullopt;
    }
    judge(now);
    if (m_isHolding && !isFinished(m_known->phase) && now - m_termConfirmedAt >= takeoverDelay) {
        // Another daemon may have held the row meanwhile, also if a restored store does not show it.
        endTerm();
        m_needsReread = true;
    }
    if (m_pendingRow || needsRow() || (m_retryAt != timeNever && now < m_retryAt)) {
        return std::nullopt;
    }
    std::optional<Write> write = nextWrite(now);
    if (!write) {
        return std::nullopt;
    }
    if (!m_isHolding && now - m_rowReadAt > heartbeatInterval) {
        // This daemon may have been paused, so what it knows of the row, or of the store's era, may be old.
        m_needsReread = true;
        return std::nullopt;
    }
    if (!m_isHolding && !isFinished(write->row.phase) && write->row.holder == m_self.daemon) {
        m_claimedTerm = write->row.term;
        const bool isSameVersion = m_known && !isOf(*m_known, *m_order) && !isFinished(m_known->phase) && m_known->to == m_order->to;
        // Permits of the earlier order for the same version count for this one until they have expired.
        m_noGrantsUntil = isSameVersion ? now + takeoverDelay : m_noGrantsUntil;
    }
    if (m_isHolding && isFinished(write->row.phase)) {
        m_decidedFinish = write->row.phase;
        m_decidedReason = write->row.reason;
    }
    m_pendingRow = write->row;
    m_pendingSince = now;
    m_lastAttemptAt = now;
    return write;
}

void RolloutHolder::handleWritten(WriteResult result, std::int64_t version, TimePoint now)
{
    if (!m_pendingRow) {
        return;
    }
    const RolloutRow row = *m_pendingRow;
    m_pendingRow.reset();
    if (result != WriteResult::Applied) {
        m_needsReread = true;
        m_retryAt = now + (isFinished(row.phase) ? heartbeatInterval : retryInterval);
        if (result == WriteResult::Conflict) {
            m_lastWriteAt = timeNever;
        }
        return;
    }
    if (version < m_rowVersion) {
        // A later row has been read already.
        m_needsReread = true;
        return;
    }
    m_rowVersion = version;
    m_rowChangedAt = now;
    m_isStoreBehind = false;
    const bool isNewPhase = !m_known || !isSameOrder(*m_known, row) || m_known->phase != row.phase;
    m_known = row;
    if (!m_order || !isOf(row, *m_order)) {
        return;
    }
    m_highestExposed = std::max(m_highestExposed, row.exposed);
    if (!m_isHolding && row.term == m_claimedTerm) {
        beginTerm(now);
    }
    if (isNewPhase) {
        m_phaseSince = now;
    }
    m_lastWriteAt = m_pendingSince;
    m_termConfirmedAt = m_pendingSince;
}

bool RolloutHolder::needsRow() const
{
    return !m_isRowRead || m_needsReread;
}

bool RolloutHolder::isActive(TimePoint now) const
{
    if (!m_order) {
        return false;
    }
    if (m_pendingRow || m_isStoreBehind) {
        return true;
    }
    const bool isCurrent = m_known && isOf(*m_known, *m_order);
    if (isCurrent && isFinished(m_known->phase)) {
        return false;
    }
    return m_isHolding || (m_lastReportAt != timeNever && now - m_lastReportAt < takeoverDelay + reportMemory);
}

const std::optional<RolloutOrder> &RolloutHolder::order() const
{
    return m_order;
}

const std::optional<RolloutRow> &RolloutHolder::row() const
{
    return m_known;
}

const VersionJudge::Judgement &RolloutHolder::judgement() const
{
    return m_judgement;
}

}
