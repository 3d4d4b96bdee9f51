#include "servers/sseframer.h"

#include "core/longbuffer.h"

#include <utility>

namespace citronspar
{

namespace
{

constexpr std::string_view idField = "id";
constexpr std::string_view dataField = "data";

}

void SseFramer::recordLine(std::string_view line)
{
    if (line.empty() || line.front() == ':') {
        return;
    }
    m_hasField = true;
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    if (field == dataField) {
        m_event.hasData = true;
    } else if (field == idField) {
        std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (!value.empty() && value.front() == ' ') {
            value.remove_prefix(1);
        }
        m_event.id = std::string(value);
    }
}

SseEvent SseFramer::takeEvent(std::size_t end)
{
    SseEvent event = std::move(m_event);
    m_event = SseEvent();
    // The rest gets memory of its own, so that a long stream does not keep that of its largest event.
    std::string rest = m_partial.substr(end);
    event.text = std::move(m_partial);
    event.text.resize(end);
    m_partial = std::move(rest);
    m_scanned = 0;
    m_lineStart = 0;
    m_hasField = false;
    m_hasData = m_hasData || event.hasData;
    return event;
}

std::vector<SseEvent> SseFramer::add(std::string_view bytes)
{
    std::vector<SseEvent> events;
    appendLong(m_partial, bytes);
    while (m_scanned < m_partial.size()) {
        if (m_isAfterCr) {
            m_isAfterCr = false;
            if (m_partial[m_scanned] == '\n') {
                m_lineStart = ++m_scanned;
                continue;
            }
        }
        const std::size_t lineEnd = m_partial.find_first_of("\r\n", m_scanned);
        if (lineEnd == std::string::npos) {
            m_scanned = m_partial.size();
            break;
        }
        m_isAfterCr = m_partial[lineEnd] == '\r';
        const std::string_view line = std::string_view(m_partial).substr(m_lineStart, lineEnd - m_lineStart);
        m_scanned = lineEnd + 1;
        if (!line.empty()) {
            recordLine(line);
            m_lineStart = m_scanned;
            continue;
        }
        const bool hasLf = m_isAfterCr && m_scanned < m_partial.size() && m_partial[m_scanned] == '\n';
        if (hasLf) {
            m_isAfterCr = false;
        }
        events.push_back(takeEvent(m_scanned + (hasLf ? 1 : 0)));
    }
    return events;
}

const std::string &SseFramer::partial() const
{
    return m_partial;
}

std::size_t SseFramer::heldBytes() const
{
    return m_partial.size() + (m_event.id.has_value() ? m_event.id->size() : 0);
}

bool SseFramer::isInsideEvent() const
{
    return m_hasField || m_lineStart < m_partial.size();
}

bool SseFramer::hasData() const
{
    return m_hasData;
}

}
