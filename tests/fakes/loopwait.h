#pragma once

#include "drivers/loop.h"

#include <functional>

namespace citronspar::fakes
{

/** Runs the loop until @p isDone returns true. Returns false after a timeout that is long enough for a heavily loaded machine. */
inline bool runUntil(Loop &loop, const std::function<bool()> &isDone)
{
    constexpr Duration pollInterval = std::chrono::milliseconds(2);
    constexpr Duration timeout = std::chrono::seconds(20);
    const TimePoint deadline = Loop::now() + timeout;
    const TimerService::TimerId timer = loop.timers().subscribe(pollInterval, [&](TimePoint now) {
        if (isDone() || now >= deadline) {
            loop.stop();
        }
    });
    loop.run();
    loop.timers().unsubscribe(timer);
    return isDone();
}

}
