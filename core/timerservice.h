#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace citronspar
{

/**
 * Calls subscribers when their time has come. The clock is handed in, so that
 * tests can set the time.
 */
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

    /** Calls @p callback each @p period, for the first time one period from now. */
    TimerId subscribe(Duration period, Callback callback);

    /** Calls @p callback once, @p delay from now. */
    TimerId subscribeOnce(Duration delay, Callback callback);

    /** Ends a subscription. An unknown id is ignored. */
    void unsubscribe(TimerId id);

    /** Calls all subscribers that are due. */
    void run();

    /** The time of the next call; nothing when there is no subscriber. */
    std::optional<TimePoint> nextDue() const;
};

}
