#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace citronspar
{

/** Remembers for some time at which software version streams began. Bounded: the oldest ones are forgotten first. */
class StreamMemory
{
public:
    struct Entry
    {
        std::string service;
        std::string version;
        /** Several streams have this name, and began at different versions. */
        bool isAmbiguous = false;
    };

private:
    using Generation = std::unordered_map<std::string, Entry>;

    Duration m_lifetime;
    std::size_t m_maxEntries;
    Generation m_current;
    Generation m_previous;
    TimePoint m_currentSince = timeNever;

public:
    /** @param lifetime how long an entry is kept at least, unless there are more than @p maxEntries */
    StreamMemory(Duration lifetime, std::size_t maxEntries);

    /** Records a stream, or replaces its entry. */
    void put(const std::string &name, Entry entry, TimePoint now);

    /** Returns nullptr if the stream is not known. Valid until the next put(). */
    const Entry *find(const std::string &name) const;
};

}
