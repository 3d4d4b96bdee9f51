#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** Where a shared prefix can be fetched from. */
struct PrefixRecord
{
    /** Id of the engine that most recently cached the prefix; empty if unknown. */
    std::string engine;
    /** Time since then. */
    Duration cachedAge = Duration::zero();
    /** Time since the last save to a KV cache store began; nullopt if there was none. */
    std::optional<Duration> savedAge;
};

/**
 * Records which engine has cached a prefix and whether it was saved to a KV
 * cache store. Rendezvous hashing assigns each prefix to the directory of one
 * endpoint daemon. Each entry daemon sends only a few requests with a prefix and
 * cannot know about those of the others; as all of them probe the prefix's
 * directory, it is prefilled once and saved once by the whole fleet.
 */
class PrefixDirectory
{
private:
    struct Entry
    {
        std::string engine;
        TimePoint cachedAt = timeNever;
        TimePoint savedAt = timeNever;
    };

    std::map<std::int64_t, Entry> m_entries;
    TimePoint m_nextSweep{};

    void sweep(TimePoint now);

public:
    /** Records that @p engine has prefilled or fetched a prefix. */
    void recordCached(std::int64_t prefix, const std::string &engine, TimePoint now);

    /** Records that a request that saves the prefix to a KV cache store is being sent. */
    void recordSaved(std::int64_t prefix, TimePoint now);

    /** Returns the information that is recent enough to be of use. */
    PrefixRecord find(std::int64_t prefix, TimePoint now) const;
};

}
