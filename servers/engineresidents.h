#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** Engines under load evict what was not used for longer. */
constexpr Duration engineCacheMemory = std::chrono::seconds(6);

/** Remembers which shared prefixes this daemon had read on which engines lately. */
class EngineResidents
{
private:
    using ReadTimes = std::map<std::string, TimePoint>;

    /** By a hash of prefix and cache salt. */
    std::map<std::uint64_t, ReadTimes> m_readAt;
    TimePoint m_nextSweep{};
    Duration m_memory;

    void sweep(TimePoint now);

public:
    using EngineFilter = std::function<bool(const std::string &engine)>;

    /** @param memory how long a prefix counts as present after it was read */
    explicit EngineResidents(Duration memory);

    void noteRead(const std::string &engine, std::uint64_t prefix, TimePoint now);
    bool isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const;

    /** The engine that read a prefix last, of those that @p filter lets pass. */
    std::optional<std::string> lastReader(std::uint64_t prefix, const EngineFilter &filter, TimePoint now) const;
};

}
