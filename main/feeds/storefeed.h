#pragma once

#include "drivers/decisionlog.h"
#include "drivers/loop.h"
#include "platform/storeclient.h"

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
    struct Handlers
    {
        /** All rows of the table. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onSnapshot;
        /** Rows that changed. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onChanges;
        /** The store answered a question that left at @p askedAt; all that it told is taken in. */
        std::function<void(TimePoint askedAt)> onConfirmed;
        /** The store did not answer. */
        std::function<void(TimePoint now)> onOutage;
    };

private:
    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_table;
    Duration m_wait;
    Handlers m_handlers;
    std::int64_t m_version = 0;
    bool m_hasSnapshot = false;
    bool m_isOut = false;
    Duration m_pause{};
    std::vector<platform::StoreRow> m_pages;

    void ask(const std::string &from);
    void takeSnapshot(const platform::StoreReply &reply, TimePoint askedAt);
    void takeChanges(const platform::StoreReply &reply, TimePoint askedAt);
    void fail(const platform::StoreReply &reply);
    void succeed(TimePoint askedAt);

public:
    /** @param wait how long a question waits at the store for a change */
    StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, Duration wait, Handlers handlers);

    void start();
};

}
