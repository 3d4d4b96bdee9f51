#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace citronspar
{

/**
 * Names one try to run a request. The incarnation is drawn at random when a
 * daemon starts, so an answer that arrives late or crossed never matches a
 * request of another daemon or of an earlier life of the same one.
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

    /** The text form, "incarnation-counter". */
    std::string toString() const;

    /** Reads the text form; nothing when @p text is not one. */
    static std::optional<AttemptId> fromString(const std::string &text);
};

}
