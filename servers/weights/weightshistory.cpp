#include "servers/weights/weightshistory.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// Bounds the memory. Engines that are behind by more versions than this are late for all of them.
constexpr std::size_t maxVersions = 64;

}

bool WeightsHistory::record(const SetWeights &weights)
{
    if (weights.version <= wantedVersion()) {
        return false;
    }
    m_versions.push_back(weights);
    if (m_versions.size() > maxVersions) {
        // The merged version counts from the time of the older one, so that no deadline moves back.
        const SetWeights oldest = m_versions.front();
        m_versions.erase(m_versions.begin());
        m_versions.front().followedSince = oldest.followedSince;
        m_versions.front().setAt = oldest.setAt;
    }
    return true;
}

std::int64_t WeightsHistory::wantedVersion() const
{
    return m_versions.empty() ? 0 : m_versions.back().version;
}

const SetWeights *WeightsHistory::successorOf(std::int64_t version) const
{
    const auto successor = std::upper_bound(m_versions.begin(), m_versions.end(), version, [](std::int64_t value, const SetWeights &set) {
        return value < set.version;
    });
    return successor == m_versions.end() ? nullptr : &*successor;
}

}
