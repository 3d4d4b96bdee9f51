#pragma once

#include "drivers/decisionlog.h"
#include "drivers/loop.h"
#include "platform/storeclient.h"
#include "servers/storeclock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Follows one table of the platform's store: reads it whole, then waits for
 * changes. After a gap in the store's history it reads the table again.
 */
class StoreFeed
{
public:
    /** How often the store is asked. */
    struct Pace
    {
        /** How long a question waits at the store for a change. */
        Duration wait{};
        /** Changes often come in rows; a pause after one takes in several with the next question. */
        Duration pauseAfterChanges{};
    };

    struct Handlers
    {
        /** All rows of the table. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onSnapshot;
        /** Rows that changed. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onChanges;
        /** The store made its last answer at @p madeAt or later; all that it told is taken in. */
        std::function<void(TimePoint madeAt)> onConfirmed;
        /** The store did not answer. */
        std::function<void(TimePoint now)> onOutage;
    };

private:
    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_table;
    Pace m_pace;
    Handlers m_handlers;
    std::int64_t m_version = 0;
    bool m_hasSnapshot = false;
    bool m_isOut = false;
    bool m_isFollowing = false;
    bool m_isReading = false;
    Duration m_pause{};
    Duration m_gapPause{};
    std::vector<platform::StoreRow> m_pages;
    StoreClock m_clock;

    void ask(const std::string &from);
    void takeSnapshot(const platform::StoreReply &reply, TimePoint askedAt);
    void takeChanges(const platform::StoreReply &reply, TimePoint askedAt);
    void fail(const platform::StoreReply &reply);
    void succeed(const platform::StoreReply &reply, TimePoint askedAt, bool hadChanges);

public:
    StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, Pace pace, Handlers handlers);

    /** Reads the table and follows it from then on. */
    void start();

    /** Reads the table once, again until the store answers. Not for a feed that was started. */
    void readOnce();
};

}
