#include "servers/weights/weightshistory.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Bounds the memory.
constexpr std::size_t maxVersions = 64;

}

bool WeightsHistory::record(const WeightsVersion &weights)
{
    if (weights.number <= wantedVersion()) {
        return false;
    }
    m_versions.push_back(weights);
    if (m_versions.size() > maxVersions) {
        // The second version counts from the time of the oldest one, so that no deadline becomes later.
        const WeightsVersion oldest = m_versions.front();
        m_versions.erase(m_versions.begin());
        m_versions.front().followedSince = oldest.followedSince;
        m_versions.front().setAt = oldest.setAt;
    }
    return true;
}

std::int64_t WeightsHistory::wantedVersion() const
{
    return m_versions.empty() ? 0 : m_versions.back().number;
}

const WeightsVersion *WeightsHistory::successorOf(std::int64_t version) const
{
    const auto successor
        = std::upper_bound(m_versions.begin(), m_versions.end(), version, [](std::int64_t value, const WeightsVersion &set) {
              return value < set.number;
          });
    return successor == m_versions.end() ? nullptr : &*successor;
}

}
