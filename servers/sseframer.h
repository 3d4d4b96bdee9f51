#pragma once

#include <string>
#include <string_view>

namespace citronspar
{

/**
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) at event boundaries,
 * so that a stream that is interrupted within an event can be resumed at another
 * endpoint.
 */
class SseFramer
{
private:
    std::string m_partial;
    /** Start of the line in m_partial up to which no event ends. */
    std::size_t m_scanned = 0;
    std::string m_lastEventId;
    bool m_hasEvents = false;

    void recordEvent(std::string_view event);

public:
    /** Adds @p bytes and returns all buffered bytes up to the end of the last complete event. */
    std::string add(std::string_view bytes);

    /** Discards the incomplete event after the stream was interrupted. */
    void discardPartial();

    /** The bytes after the last complete event. */
    const std::string &partial() const;

    /** The id of the last complete event that had one; empty if there was none. */
    const std::string &lastEventId() const;

    bool hasEvents() const;
};

}
