#include "servers/softwareversions.h"

#include "core/hash.h"

#include <algorithm>
#include <cstddef>

namespace citronspar
{

namespace
{

// Periods that ended this many horizons ago don't matter to any stream.
constexpr int keptHorizons = 3;

// A key of the table has 200 bytes.
constexpr std::size_t maxNameBytes = 180;

}

std::string versionRowKey(const VersionPeriod &period)
{
    const std::string name = period.service + "/" + period.version;
    return "version/" + (name.size() <= maxNameBytes ? name : std::to_string(hashBytes(name, 0)));
}

SoftwareVersions::SoftwareVersions(Settings settings)
    : m_settings(settings)
{
}

void SoftwareVersions::apply(const VersionPeriod &period, TimePoint now)
{
    const Name name{period.service, period.version};
    m_periods[name] = period;
    m_lost.erase(name);
    // The other daemon's list may be newer than the one here.
    m_lastListed[name] = std::max(m_lastListed[name], now);
}

void SoftwareVersions::replaceAll(const std::vector<VersionPeriod> &periods, TimePoint now)
{
    m_periods.clear();
    m_lost.clear();
    for (const VersionPeriod &period : periods) {
        apply(period, now);
    }
}

void SoftwareVersions::mergeOlder(const std::vector<VersionPeriod> &periods, TimePoint now)
{
    for (const std::pair<const Name, VersionPeriod> &known : m_periods) {
        m_lost.insert(known.first);
    }
    for (const VersionPeriod &period : periods) {
        const auto known = m_periods.find({period.service, period.version});
        const bool isSame = known != m_periods.end() && known->second.until == timeNever && period.until == timeNever;
        if (known == m_periods.end()) {
            apply(period, now);
        } else if (isSame) {
            m_lost.erase(known->first);
        }
    }
}

void SoftwareVersions::remove(const std::string &key)
{
    for (auto it = m_periods.begin(); it != m_periods.end(); ++it) {
        if (versionRowKey(it->second) == key) {
            m_lastListed.erase(it->first);
            m_periods.erase(it);
            return;
        }
    }
}

void SoftwareVersions::recordEra(TimePoint at)
{
    m_eraBegan = std::max(m_eraBegan, at);
}

void SoftwareVersions::observe(const std::set<std::pair<std::string, std::string>> &listed, TimePoint now)
{
    for (const Name &name : m_listed) {
        m_lastListed[name] = now;
    }
    m_listed = listed;
}

std::vector<VersionPeriod> SoftwareVersions::dueChanges(TimePoint now) const
{
    std::vector<VersionPeriod> changes;
    for (const Name &name : m_listed) {
        const auto known = m_periods.find(name);
        if (known == m_periods.end()) {
            changes.push_back(VersionPeriod{name.first, name.second, now, timeNever});
            continue;
        }
        VersionPeriod period = known->second;
        if (period.until != timeNever && now - period.until > m_settings.horizon) {
            period.from = now;
        }
        if (period.until != timeNever || m_lost.count(name) > 0) {
            period.until = timeNever;
            changes.push_back(period);
        }
    }
    for (const std::pair<const Name, VersionPeriod> &known : m_periods) {
        if (m_listed.count(known.first) > 0) {
            continue;
        }
        VersionPeriod period = known.second;
        const auto lastListed = m_lastListed.find(known.first);
        const bool isGone = lastListed == m_lastListed.end() || now - lastListed->second > m_settings.goneDelay;
        if (period.until == timeNever && isGone) {
            period.until = now;
            changes.push_back(period);
        } else if (m_lost.count(known.first) > 0) {
            changes.push_back(period);
        }
    }
    return changes;
}

std::vector<std::string> SoftwareVersions::obsoleteKeys(TimePoint now) const
{
    std::vector<std::string> keys;
    for (const std::pair<const Name, VersionPeriod> &known : m_periods) {
        const TimePoint until = known.second.until;
        if (until != timeNever && now - until > m_settings.horizon * keptHorizons && m_listed.count(known.first) == 0) {
            keys.push_back(versionRowKey(known.second));
        }
    }
    return keys;
}

bool SoftwareVersions::isInUse(const std::string &service, const std::string &version) const
{
    const auto found = m_periods.find({service, version});
    return found != m_periods.end() && found->second.until == timeNever;
}

std::optional<TimePoint> SoftwareVersions::inUseSince(const std::string &service, const std::string &version) const
{
    return isInUse(service, version) ? std::optional<TimePoint>(m_periods.at({service, version}).from) : std::nullopt;
}

std::set<std::string> SoftwareVersions::versionsBetween(const std::string &service, TimePoint begin, TimePoint end,
                                                        bool isEndIncluded) const
{
    std::set<std::string> versions;
    for (auto it = m_periods.lower_bound({service, std::string()}); it != m_periods.end() && it->first.first == service; ++it) {
        const VersionPeriod &period = it->second;
        const bool hasBegun = period.from < end || (isEndIncluded && period.from == end);
        if (hasBegun && (period.until == timeNever || period.until >= begin)) {
            versions.insert(period.version);
        }
    }
    return versions;
}

std::optional<std::string> SoftwareVersions::onlyVersion(const std::string &service, TimePoint now) const
{
    // A daemon whose clock is ahead may have written a period that begins after now.
    const std::set<std::string> versions = versionsBetween(service, now - m_settings.horizon, TimePoint::max(), false);
    return versions.size() == 1 ? std::optional<std::string>(*versions.begin()) : std::nullopt;
}

std::optional<std::string> SoftwareVersions::versionWithoutRecord(const std::string &service, TimePoint now) const
{
    const std::optional<std::string> only = onlyVersion(service, now);
    if (only.has_value()) {
        return only;
    }
    // The first version that came within the horizon ended a time without records, if there was a single version before it.
    TimePoint firstBegin = TimePoint::max();
    for (auto it = m_periods.lower_bound({service, std::string()}); it != m_periods.end() && it->first.first == service; ++it) {
        if (it->second.from > now - m_settings.horizon) {
            firstBegin = std::min(firstBegin, it->second.from);
        }
    }
    if (firstBegin == TimePoint::max()) {
        return std::nullopt;
    }
    std::set<std::string> before = versionsBetween(service, firstBegin - m_settings.horizon, firstBegin, false);
    if (before.empty()) {
        // The service is new: its first version was alone until the next one came.
        before = versionsBetween(service, firstBegin, firstBegin, true);
    }
    return before.size() == 1 ? std::optional<std::string>(*before.begin()) : std::nullopt;
}

void SoftwareVersions::recordConfirmed(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

SoftwareVersions::LookupStep SoftwareVersions::nextLookupStep(const std::string &service, TimePoint askedAt, TimePoint now) const
{
    if (m_confirmedAt == timeNever || m_confirmedAt < askedAt) {
        return LookupStep::ReadVersions;
    }
    // With a single version there are no records.
    return onlyVersion(service, now).has_value() ? LookupStep::Conclude : LookupStep::ReadRecord;
}

bool SoftwareVersions::isInTable(const std::string &service, const std::string &version) const
{
    return isInUse(service, version) && m_lost.count({service, version}) == 0;
}

SoftwareVersions::RecordNeed SoftwareVersions::recordNeed(const std::string &service, const std::string &version, TimePoint now) const
{
    const std::optional<std::string> unrecorded = versionWithoutRecord(service, now);
    // Daemons that read the table later don't know that this version was in use already.
    const bool isInTable = isInUse(service, version);
    if (!isInTable || (unrecorded.has_value() && *unrecorded != version)) {
        return RecordNeed::Required;
    }
    return unrecorded.has_value() && unrecordedVersion(service, now).has_value() ? RecordNeed::None : RecordNeed::Useful;
}

std::optional<std::string> SoftwareVersions::unrecordedVersion(const std::string &service, TimePoint now) const
{
    const bool isEraNew = m_eraBegan != timeNever && now - m_eraBegan < m_settings.horizon;
    if (!isEraNew) {
        return versionWithoutRecord(service, now);
    }
    // Records and versions may be lost with the older copy. They don't matter if there has been one version all along; daemons that know
    // of another one have written it again by now, and its endpoints are listed.
    const std::optional<std::string> only = onlyVersion(service, now);
    const bool isListedOnly = std::all_of(m_listed.begin(), m_listed.end(), [&](const Name &name) {
        return name.first != service || name.second == only;
    });
    const bool isSettled = now - m_eraBegan >= m_settings.settleTime;
    return isListedOnly && isSettled ? only : std::nullopt;
}

}
