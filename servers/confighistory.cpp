#include "servers/confighistory.h"

#include <utility>

namespace citronspar
{

ConfigHistory::ConfigHistory(std::size_t capacity)
    : m_capacity(capacity)
{
}

void ConfigHistory::add(ConfigPatch patch)
{
    if (!m_patches.empty() && m_patches.back().version + 1 != patch.version) {
        m_patches.clear();
    }
    m_patches.push_back(std::move(patch));
    if (m_patches.size() > m_capacity) {
        m_patches.pop_front();
    }
}

std::optional<std::vector<ConfigPatch>> ConfigHistory::since(std::int64_t version) const
{
    if (m_patches.empty() || version + 1 < m_patches.front().version || version > m_patches.back().version) {
        return std::nullopt;
    }
    std::vector<ConfigPatch> patches;
    for (const ConfigPatch &patch : m_patches) {
        if (patch.version > version) {
            patches.push_back(patch);
        }
    }
    return patches;
}

}
