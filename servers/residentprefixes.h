#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** Under load, engines evict prefixes that were not used for longer than this. */
constexpr Duration engineCacheLifetime = std::chrono::seconds(6);

/** Tracks which engines have recently prefilled which shared prefixes of this daemon's requests. */
class ResidentPrefixes
{
private:
    using PrefillTimes = std::map<std::string, TimePoint>;

    /** Keyed by a hash of the prefix and the cache salt. */
    std::map<std::uint64_t, PrefillTimes> m_prefilledAt;
    TimePoint m_nextSweep{};
    Duration m_lifetime;

    void sweep(TimePoint now);

public:
    using EngineFilter = std::function<bool(const std::string &engine)>;

    /** @param lifetime how long a prefix counts as cached after its prefill */
    explicit ResidentPrefixes(Duration lifetime);

    void recordPrefilled(const std::string &engine, std::uint64_t prefix, TimePoint now);
    bool isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const;

    /** Returns the engine that most recently prefilled a prefix among those accepted by @p filter, or nullopt if there is none. */
    std::optional<std::string> latestEngine(std::uint64_t prefix, const EngineFilter &filter, TimePoint now) const;
};

}
