#pragma once

#include <string>
#include <string_view>

namespace citronspar
{

/**
 * Cuts a stream of server-sent events (WHATWG HTML, 9.2) behind whole events,
 * so that a stream that breaks off inside one can go on elsewhere.
 */
class EventCutter
{
private:
    std::string m_partial;
    std::string m_lastId;
    bool m_hasEvents = false;

    void noteEvent(std::string_view event);

public:
    /** Takes in bytes and returns those up to the end of the last whole event. */
    std::string add(std::string_view bytes);

    /** The stream broke off; what is partial is dropped. */
    void dropPartial();

    /** What came after the last whole event. */
    const std::string &partial() const;

    /** The id of the last whole event; empty before the first. */
    const std::string &lastId() const;

    bool hasEvents() const;
};

}
