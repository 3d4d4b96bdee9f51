#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** The step from one version of the configuration to the next, as a JSON Patch (RFC 6902). */
struct ConfigPatch
{
    std::int64_t version = 0;
    std::string text;
};

/** The newest patches, so that a daemon a few versions behind need not fetch the whole document. */
class ConfigHistory
{
private:
    std::deque<ConfigPatch> m_patches;
    std::size_t m_capacity;

public:
    explicit ConfigHistory(std::size_t capacity);

    /** Adds the step to @p patch.version. A gap to the last one drops all before it. */
    void add(ConfigPatch patch);

    /** The patches that lead from @p version to the newest; nothing when they are not all kept. */
    std::optional<std::vector<ConfigPatch>> since(std::int64_t version) const;
};

}
