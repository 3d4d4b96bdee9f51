#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace citronspar
{

/** Remembers which shared prefixes this daemon had read on which engine lately. */
class EngineResidents
{
private:
    /** Engine id and a hash of prefix and cache salt. */
    using Key = std::pair<std::string, std::uint64_t>;

    std::map<Key, TimePoint> m_readAt;
    TimePoint m_nextSweep{};
    Duration m_memory;

public:
    /** @param memory engines evict what was not used for longer */
    explicit EngineResidents(Duration memory);

    void noteRead(const std::string &engine, std::uint64_t prefix, TimePoint now);
    bool isResident(const std::string &engine, std::uint64_t prefix, TimePoint now) const;
};

}
