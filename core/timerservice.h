#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace citronspar
{

/** Calls subscribers at their due time. The clock is a parameter, so that tests can control the time. */
class TimerService
{
public:
    using TimerId = std::uint64_t;
    using Callback = std::function<void(TimePoint now)>;
    using Clock = std::function<TimePoint()>;

private:
    struct Subscription
    {
        TimePoint due;
        Duration period{};
        Callback callback;
    };

    std::map<TimerId, Subscription> m_subscriptions;
    std::map<std::pair<TimePoint, TimerId>, TimerId> m_queue;
    TimerId m_lastId = 0;
    Clock m_clock;

    TimerId add(TimePoint due, Duration period, Callback callback);
    void fire(TimerId id, TimePoint now);

public:
    explicit TimerService(Clock clock);

    /** Calls @p callback every @p period, starting one period from now. */
    TimerId subscribe(Duration period, Callback callback);

    /** Calls @p callback once, @p delay from now. */
    TimerId subscribeOnce(Duration delay, Callback callback);

    /** Cancels a subscription. Unknown ids are ignored. */
    void unsubscribe(TimerId id);

    /** Calls all subscribers that are due. */
    void run();

    /** The due time of the next call. Returns nullopt if there is no subscription. */
    std::optional<TimePoint> nextDue() const;
};

}
