#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** The change from the previous version of the configuration to @c version, as a JSON Patch (RFC 6902). */
struct ConfigPatch
{
    std::int64_t version = 0;
    std::string text;
};

/** Keeps the newest patches, so that a daemon a few versions behind need not fetch the whole document. */
class ConfigHistory
{
private:
    std::deque<ConfigPatch> m_patches;
    std::size_t m_capacity;

public:
    explicit ConfigHistory(std::size_t capacity);

    /** Appends @p patch. If its version does not follow the last one, all earlier patches are dropped. */
    void add(ConfigPatch patch);

    /**
     * Returns the patches that lead from @p version to the newest version.
     * Returns nullopt if one of them is not available, or if @p version is newer than all patches.
     */
    std::optional<std::vector<ConfigPatch>> since(std::int64_t version) const;
};

}
