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
 * One JSON line on standard output for each decision. A kind of line that
 * comes too often is left out, and the next line says how many were; a reader
 * that does not keep up loses lines instead of stopping the process.
 */
class DecisionLog
{
public:
    using Field = std::pair<const char *, std::string>;

    /** Lines of one kind in a second. */
    static constexpr int maxLinesPerSecond = 60;

private:
    struct Kind
    {
        TimePoint windowStart{};
        int lines = 0;
        std::uint64_t leftOut = 0;
    };

    std::string m_daemon;
    std::map<std::pair<std::string, std::string>, Kind> m_kinds;

public:
    /** @param daemon the name that each line bears */
    explicit DecisionLog(std::string daemon);

    /**
     * @param part the part of the daemon that speaks
     * @param event what happened, in a few words; bounds its kind's volume with part
     */
    void write(const char *part, const char *event, std::initializer_list<Field> fields);
};

/** Milliseconds with one decimal, as text for a log line. */
std::string millisecondsText(Duration duration);

}
