#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace citronspar
{

/**
 * Identifies one attempt to run a request. A daemon chooses a random
 * incarnation at its start, so a delayed or misrouted answer never matches a
 * request of another daemon or one from before a restart of the same daemon.
 */
struct AttemptId
{
    std::int64_t incarnation = 0;
    std::int64_t counter = 0;

    bool operator==(const AttemptId &other) const
    {
        return incarnation == other.incarnation && counter == other.counter;
    }

    bool operator!=(const AttemptId &other) const
    {
        return !(*this == other);
    }

    bool operator<(const AttemptId &other) const
    {
        return std::tie(incarnation, counter) < std::tie(other.incarnation, other.counter);
    }

    /** Formats the id as "incarnation-counter". */
    std::string toString() const;

    /** Parses the format of toString(). Returns nullopt if @p text is malformed. */
    static std::optional<AttemptId> fromString(const std::string &text);
};

}
