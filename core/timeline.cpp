#include "core/timeline.h"

#include <utility>

namespace citronspar
{

Timeline::Timeline(std::size_t capacity)
    : m_capacity(capacity)
{
}

void Timeline::add(TimelineEvent event)
{
    if (m_events.size() >= m_capacity) {
        m_events.pop_front();
    }
    m_events.push_back(std::move(event));
}

const std::deque<TimelineEvent> &Timeline::events() const
{
    return m_events;
}

}
