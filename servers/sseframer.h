#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronspar
{

/** One event of a stream, or a block of comments between two events. */
struct SseEvent
{
    /** The bytes as received, up to the end of the empty line. */
    std::string text;
    /** The value of the last id field; nullopt if there is none. */
    std::optional<std::string> id;
    /** Whether it has a data field. Readers ignore an event without one. */
    bool hasData = false;
};

/**
 * Splits the server-sent events (WHATWG HTML, 9.2) of one response at event
 * boundaries, so that a stream that is interrupted within an event can be
 * resumed at another endpoint. Lines end with CR LF, LF or CR.
 */
class SseFramer
{
private:
    std::string m_partial;
    /** Up to where m_partial has been searched for line ends. */
    std::size_t m_scanned = 0;
    /** Start of the current line in m_partial. */
    std::size_t m_lineStart = 0;
    /** Whether the last line ended with CR, so that a LF that follows is part of its end. */
    bool m_isAfterCr = false;
    SseEvent m_event;
    /** Whether the current event has a field, not only comments. */
    bool m_hasField = false;
    bool m_hasData = false;

    void recordLine(std::string_view line);
    SseEvent takeEvent(std::size_t end);

public:
    /** Adds @p bytes and returns the events that are complete. */
    std::vector<SseEvent> add(std::string_view bytes);

    /** The bytes after the last complete event. */
    const std::string &partial() const;

    /** Bytes of the event that is not complete. */
    std::size_t heldBytes() const;

    /** Whether there is a part of an event after the last complete one. Readers discard it if the stream ends there. */
    bool isInsideEvent() const;

    /** Whether there was an event with data. */
    bool hasData() const;
};

}
