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

void WeightsRollout::setWantedVersion(std::int64_t version, std::size_t poolSize, const std::vector<std::string> &ids,
                                      const std::string &own, TimePoint now)
{
    if (version <= m_wantedVersion) {
        return;
    }
    m_wantedVersion = version;
    if (m_currentVersion >= version) {
        return;
    }
    std::vector<std::string> order = ids;
    std::sort(order.begin(), order.end());
    const std::size_t count = std::max<std::size_t>(order.size(), 1);
    std::size_t rank = static_cast<std::size_t>(std::lower_bound(order.begin(), order.end(), own) - order.begin());
    rank = std::min(rank, count - 1);
    if (version % 2 != 0) {
        // The order is reversed for every other version, so that engines that have not loaded a version when the next one is
        // set are first for the next one.
        rank = count - 1 - rank;
    }
    const std::size_t groups = static_cast<std::size_t>(m_settings.groups);
    const std::size_t groupSize = std::max<std::size_t>(1, (std::max(poolSize, count) + groups / 2) / groups);
    const std::int64_t group = static_cast<std::int64_t>(rank / groupSize);
    m_orderAt = now + m_settings.announceLead + group * m_settings.groupInterval;
}

void WeightsRollout::recordReport(std::int64_t version, bool isBusy, TimePoint now)
{
    m_currentVersion = std::max(m_currentVersion, version);
    m_isBusy = isBusy;
    if (m_currentVersion >= m_wantedVersion) {
        m_orderAt.reset();
        m_orderedAt = timeNever;
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

bool WeightsRollout::isLoading(TimePoint now) const
{
    if (m_isBusy || m_orderedAt != timeNever) {
        return true;
    }
    return m_currentVersion < m_wantedVersion && m_orderAt.has_value() && now + m_settings.announceLead >= *m_orderAt;
}

std::int64_t WeightsRollout::wantedVersion() const
{
    return m_wantedVersion;
}

}
