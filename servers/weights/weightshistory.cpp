#include "servers/weights/weightshistory.h"

namespace citronspar
{

bool WeightsHistory::record(const SetWeights &weights)
{
    if (weights.version <= wantedVersion()) {
        return false;
    }
    m_versions.assign(1, weights);
    return true;
}

std::int64_t WeightsHistory::wantedVersion() const
{
    return m_versions.empty() ? 0 : m_versions.back().version;
}

const SetWeights *WeightsHistory::successorOf(std::int64_t version) const
{
    return version < wantedVersion() ? &m_versions.back() : nullptr;
}

}
