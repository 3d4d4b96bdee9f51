#include "servers/weights/weightsrollout.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr Duration refusalRetryDelay = std::chrono::milliseconds(150);

}

WeightsRollout::WeightsRollout(Settings settings)
    : m_settings(settings)
{
}

void WeightsRollout::setWantedVersion(std::int64_t version, std::size_t poolSize, std::vector<OutdatedEngine> outdated,
                                      const std::string &own, TimePoint now)
{
    if (version <= m_wantedVersion) {
        return;
    }
    m_wantedVersion = version;
    if (m_currentVersion >= version) {
        return;
    }
    // The order of the ids is reversed for every other version, so that engines that have not loaded a version when the next one
    // is set are first for the next one, although the list does not show yet which have loaded it.
    const bool isReversed = version % 2 != 0;
    std::sort(outdated.begin(), outdated.end(), [isReversed](const OutdatedEngine &first, const OutdatedEngine &second) {
        if (first.version != second.version) {
            return first.version < second.version;
        }
        return isReversed ? second.id < first.id : first.id < second.id;
    });
    const auto position = std::find_if(outdated.begin(), outdated.end(), [&own](const OutdatedEngine &engine) {
        return engine.id == own;
    });
    const std::size_t count = std::max<std::size_t>(outdated.size(), 1);
    const std::size_t rank = std::min(static_cast<std::size_t>(position - outdated.begin()), count - 1);
    m_isUnanswered = false;
    const std::size_t groups = static_cast<std::size_t>(m_settings.groups);
    const std::size_t groupSize = std::max<std::size_t>(1, (std::max(poolSize, count) + groups / 2) / groups);
    const std::int64_t group = static_cast<std::int64_t>(rank / groupSize);
    const TimePoint orderAt = now + m_settings.announceLead + group * m_settings.groupInterval;
    m_orderAt = std::min(m_orderAt.value_or(orderAt), orderAt);
}

void WeightsRollout::recordReport(std::int64_t version, bool isBusy, TimePoint now)
{
    // A late order may have loaded an older version again.
    m_currentVersion = version;
    m_isBusy = isBusy;
    if (m_currentVersion >= m_wantedVersion) {
        m_orderAt.reset();
        m_orderedAt = timeNever;
        m_isUnanswered = false;
        return;
    }
    if (m_orderedAt != timeNever && m_currentVersion >= m_orderedVersion) {
        m_orderedAt = timeNever;
    }
    if (!m_orderAt.has_value() && m_orderedAt == timeNever) {
        m_orderAt = now + m_settings.announceLead;
    }
    if (m_orderedAt != timeNever && !isBusy && now - m_orderedAt > m_settings.orderTimeout) {
        m_orderedAt = timeNever;
        m_orderAt = now;
    }
}

void WeightsRollout::recordRestart()
{
    m_currentVersion = 0;
    m_isBusy = false;
    m_orderedAt = timeNever;
    m_isUnanswered = false;
}

WeightsRollout::Step WeightsRollout::nextStep(TimePoint now) const
{
    if (m_currentVersion >= m_wantedVersion || !m_orderAt.has_value() || m_isBusy) {
        return Step::Nothing;
    }
    if (m_orderedAt != timeNever && m_orderedVersion == m_wantedVersion) {
        return Step::Nothing;
    }
    if (now >= *m_orderAt) {
        return Step::Order;
    }
    return now + m_settings.announceLead >= *m_orderAt ? Step::Announce : Step::Nothing;
}

void WeightsRollout::recordOrdered(TimePoint now)
{
    m_orderedAt = now;
    m_orderedVersion = m_wantedVersion;
    m_orderAt.reset();
}

void WeightsRollout::recordRefused(TimePoint now)
{
    m_orderedAt = timeNever;
    m_orderAt = now + refusalRetryDelay;
}

void WeightsRollout::recordUnanswered(TimePoint now)
{
    recordRefused(now);
    m_isUnanswered = true;
}

bool WeightsRollout::isLoading(TimePoint now) const
{
    if (m_isBusy || m_isUnanswered) {
        return m_isBusy;
    }
    if (m_orderedAt != timeNever) {
        return true;
    }
    return m_currentVersion < m_wantedVersion && m_orderAt.has_value() && now + m_settings.announceLead >= *m_orderAt;
}

std::int64_t WeightsRollout::wantedVersion() const
{
    return m_wantedVersion;
}

}
