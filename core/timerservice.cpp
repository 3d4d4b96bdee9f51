#include "core/timerservice.h"

namespace citronspar
{

TimerService::TimerService(Clock clock)
    : m_clock(std::move(clock))
{
}

TimerService::TimerId TimerService::add(TimePoint due, Duration period, Callback callback)
{
    const TimerId id = ++m_lastId;
    m_subscriptions[id] = Subscription{due, period, std::move(callback)};
    m_queue[{due, id}] = id;
    return id;
}

TimerService::TimerId TimerService::subscribe(Duration period, Callback callback)
{
    return add(m_clock() + period, period, std::move(callback));
}

TimerService::TimerId TimerService::subscribeOnce(Duration delay, Callback callback)
{
    return add(m_clock() + delay, Duration::zero(), std::move(callback));
}

void TimerService::unsubscribe(TimerId id)
{
    const auto found = m_subscriptions.find(id);
    if (found == m_subscriptions.end()) {
        return;
    }
    m_queue.erase({found->second.due, id});
    m_subscriptions.erase(found);
}

void TimerService::fire(TimerId id, TimePoint now)
{
    const auto found = m_subscriptions.find(id);
    // The callback is copied because it may cancel its own subscription.
    const Callback callback = found->second.callback;
    if (found->second.period == Duration::zero()) {
        m_subscriptions.erase(found);
    } else {
        found->second.due = now + found->second.period;
        m_queue[{found->second.due, id}] = id;
    }
    callback(now);
}

void TimerService::run()
{
    const TimePoint now = m_clock();
    while (!m_queue.empty() && m_queue.begin()->first.first <= now) {
        const TimerId id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        fire(id, now);
    }
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return m_queue.begin()->first.first;
}

}
