#pragma once

#include "drivers/decisionlog.h"
#include "drivers/loop.h"
#include "platform/storeclient.h"
#include "servers/tablefollower.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Mirrors one table of the platform's store: reads a snapshot, then long polls
 * for changes. If the store has dropped the history since the last known
 * version, or has come back from an older copy, it reads a new snapshot.
 */
class StoreFeed
{
public:
    /** How often the store is polled. */
    struct PollSettings
    {
        /** How long the store holds a poll open while there is no change. */
        Duration longPollTimeout{};
        /** Delay before the next poll after changes. Changes often come in quick succession, and a delayed poll fetches several at once. */
        Duration delayAfterChanges{};
    };

    struct Handlers
    {
        /**
         * Receives all rows of the table. With @p isOfNewEra they come from an older copy of the table, which may lack changes
         * that were received before.
         */
        std::function<void(const std::vector<platform::StoreRow> &rows, bool isOfNewEra)> onSnapshot;
        /** Receives changed and deleted rows. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onChanges;
        /** Called after a response was applied, with the earliest time at which the store can have produced it. */
        std::function<void(TimePoint producedAt)> onConfirmed;
        /** Called after each failed request. */
        std::function<void(TimePoint now)> onOutage;
        /** Called when a new era is noticed, before the table is read anew; may be empty. */
        std::function<void(TimePoint now)> onNewEra = {};
    };

private:
    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_table;
    PollSettings m_pollSettings;
    Handlers m_handlers;
    TableFollower m_follower;
    bool m_isPolling = false;
    bool m_isReadPending = false;
    bool m_isLoggedAsFailing = false;
    Duration m_retryDelay{};
    Duration m_snapshotDelay{};
    /** The rows of the snapshot pages read so far. */
    std::vector<platform::StoreRow> m_snapshotRows;
    TimerService::TimerId m_requestTimer = 0;

    void sendRequest();
    /** Sends the next request after @p delay, instead of one that is scheduled already. */
    void scheduleRequest(Duration delay);
    void handleEra(std::int64_t era);
    void handleReply(const TableFollower::Request &request, const platform::StoreReply &reply);
    void handlePage(const platform::StoreReply &reply, bool isLast);
    void handleHistoryGone();
    void handleSuccess(bool hadChanges);
    void handleFailure(const platform::StoreReply &reply);

public:
    StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, PollSettings pollSettings, Handlers handlers);

    /** Reads the table and polls for changes from then on. */
    void start();

    /** Reads the table once, with retries until it succeeds. Must not be called after start(). */
    void readOnce();

    /** The clock of the store, as known from its responses. */
    const StoreClock &clock() const;

    /** The era of the store; nullopt before the first response that states it. */
    std::optional<std::int64_t> era() const;

    /** The earliest time at which changes in the last response can have been made; timeNever if that is not known. */
    TimePoint changedAfter() const;

    /** The version of the store up to which the changes of the table are known. */
    std::int64_t version() const;

    /** Whether the table has been read. */
    bool hasSnapshot() const;

    /** Whether the table has been read, and the last request did not fail. */
    bool isConnected() const;
};

}
