#pragma once

#include "core/time.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <utility>

namespace citronspar
{

/**
 * Writes one JSON line to standard output for each decision. Lines are rate
 * limited for each pair of component and event; the next line of the pair states
 * how many lines were suppressed before it. Lines are also suppressed while the
 * pipe is full, so that a slow reader does not block the process.
 */
class DecisionLog
{
public:
    using Field = std::pair<const char *, std::string>;

    /** Limit for each pair of component and event. */
    static constexpr int maxLinesPerSecond = 60;

private:
    struct LineRate
    {
        TimePoint windowStart{};
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::string m_daemon;
    std::map<std::pair<std::string, std::string>, LineRate> m_lineRates;

public:
    /** @param daemon the daemon's name, a field of each line */
    explicit DecisionLog(std::string daemon);

    /**
     * @param component the component of the daemon that writes the line
     * @param event a short constant description of what happened; the rate limit applies to component and event together
     */
    void write(const char *component, const char *event, std::initializer_list<Field> fields);
};

/** Formats a duration in milliseconds with one decimal. */
std::string millisecondsText(Duration duration);

}
