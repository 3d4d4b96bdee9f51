#pragma once

#include "servers/crashrow.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace citronspar
{

/**
 * Remembers for some seconds which prompt parts and requests this daemon has
 * seen completed. Bounded, as callers choose the parts: entries live for one
 * to two generations.
 */
class CompletionHistory
{
private:
    struct Entry
    {
        std::int64_t completions = 0;
        TimePoint lastSentAt = timeNever;
    };
    using Generation = std::unordered_map<SuspectId, Entry>;

    Generation m_current;
    Generation m_previous;
    TimePoint m_currentSince = timeNever;

public:
    /** @param sentAt when the completed attempt was sent to its endpoint */
    void recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now);

    std::int64_t completions(SuspectId suspect) const;

    /** When the latest attempt with @p suspect that was completed had been sent; timeNever if there was none recently. */
    TimePoint lastSentAt(SuspectId suspect) const;
};

}
