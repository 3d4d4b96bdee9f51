#pragma once

#include "core/time.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace citronspar
{

/**
 * Selects the endpoint daemon that an entry daemon reports to about one roll-out. Answers holders that are killed, frozen
 * or cut off: the reports go to the next daemon, which takes over after a while.
 */
class HolderSelection
{
public:
    /** Returns the first of the given addresses in the order that all entry daemons agree on; they are not empty. */
    using Selector = std::function<std::string(const std::set<std::string> &addresses)>;

    /** Without an answer for this long the next daemon gets the reports: three reports' time, as a message may be lost. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds(750);

private:
    Selector m_selector;
    std::string m_target;
    /** When the first report was sent to the target that it has not answered; timeNever if there is none. */
    TimePoint m_unansweredSince = timeNever;
    /** Daemons that have not answered, and until when they are passed over. */
    std::map<std::string, TimePoint> m_silentUntil;

    void setTarget(const std::string &address);

public:
    explicit HolderSelection(Selector selector);

    /** Returns the address to report to; empty without candidates. */
    std::string target(const std::set<std::string> &candidates, TimePoint now);

    /** Records that a report was sent to target(). */
    void recordSent(TimePoint now);

    /** Records an answer of the daemon at @p address. */
    void recordAnswer(const std::string &address);

    /** Another daemon or the shared row has named the holder. Ignored if it has not answered recently. */
    void recordHolder(const std::string &address, TimePoint now);
};

}
