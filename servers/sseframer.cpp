#include "servers/sseframer.h"

namespace citronspar
{

namespace
{

constexpr std::string_view idField = "id:";

/**
 * Returns the offset after the empty line that ends the first event in @p text; npos if the event is incomplete.
 * @param lineStart the start of the line to continue at; receives that of the last, incomplete line
 */
std::size_t eventEnd(std::string_view text, std::size_t &lineStart)
{
    while (true) {
        const std::size_t newline = text.find('\n', lineStart);
        if (newline == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::string_view line = text.substr(lineStart, newline - lineStart);
        if (line.empty() || line == "\r") {
            return newline + 1;
        }
        lineStart = newline + 1;
    }
}

}

void SseFramer::recordEvent(std::string_view event)
{
    m_hasEvents = true;
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        std::size_t newline = event.find('\n', lineStart);
        newline = newline == std::string_view::npos ? event.size() : newline;
        std::string_view line = event.substr(lineStart, newline - lineStart);
        lineStart = newline + 1;
        if (line.substr(0, idField.size()) != idField) {
            continue;
        }
        line.remove_prefix(idField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        m_lastEventId = std::string(line);
    }
}

std::string SseFramer::add(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t consumed = 0;
    while (true) {
        const std::string_view rest = std::string_view(m_partial).substr(consumed);
        const std::size_t end = eventEnd(rest, m_scanned);
        if (end == std::string_view::npos) {
            break;
        }
        recordEvent(rest.substr(0, end));
        consumed += end;
        m_scanned = 0;
    }
    std::string complete = m_partial.substr(0, consumed);
    m_partial.erase(0, consumed);
    return complete;
}

void SseFramer::discardPartial()
{
    m_partial.clear();
    m_scanned = 0;
}

const std::string &SseFramer::partial() const
{
    return m_partial;
}

const std::string &SseFramer::lastEventId() const
{
    return m_lastEventId;
}

bool SseFramer::hasEvents() const
{
    return m_hasEvents;
}

}
