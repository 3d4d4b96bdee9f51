#pragma once

#include "servers/sseframer.h"

#include <optional>
#include <string>

namespace citronspar
{

/**
 * Decides which events of several attempts form one stream. An attempt that
 * resumes the stream after the last event may repeat that event; if it starts
 * anywhere before, it is another stream.
 */
class StreamContinuity
{
public:
    enum class Verdict {
        Forward,
        /** The event was forwarded from an earlier attempt. */
        Repeat,
        /** The attempt does not continue the stream. */
        NotContinued,
    };

private:
    std::optional<std::string> m_lastId;
    bool m_isPositionKnown = true;
    /** Whether events of an earlier attempt were forwarded, and none of this one. */
    bool m_isResuming = false;

public:
    /** Events of another attempt follow. */
    void beginAttempt();

    /** Decides on the next event, and records it if it is to be forwarded. */
    Verdict add(const SseEvent &event);

    /** Whether another attempt can continue: the last event with data had an id. */
    bool canResume() const;

    /** The id of the last forwarded event that had one. */
    const std::optional<std::string> &lastId() const;
};

}
