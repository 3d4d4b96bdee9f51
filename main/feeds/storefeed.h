#pragma once

#include "drivers/decisionlog.h"
#include "drivers/loop.h"
#include "platform/storeclient.h"
#include "servers/storeclock.h"

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
 * version, it reads a new snapshot.
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
        /** Receives all rows of the table. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onSnapshot;
        /** Receives changed and deleted rows. */
        std::function<void(const std::vector<platform::StoreRow> &rows)> onChanges;
        /** Called after a response was applied, with the earliest time at which the store can have produced it. */
        std::function<void(TimePoint producedAt)> onConfirmed;
        /** Called after each failed request. */
        std::function<void(TimePoint now)> onOutage;
    };

private:
    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_table;
    PollSettings m_pollSettings;
    Handlers m_handlers;
    std::int64_t m_version = 0;
    /** As last stated by the store; nullopt before. */
    std::optional<std::int64_t> m_era;
    bool m_hasSnapshot = false;
    bool m_isFailing = false;
    bool m_isPolling = false;
    bool m_isReadPending = false;
    Duration m_retryDelay{};
    Duration m_snapshotDelay{};
    /** The rows of the snapshot pages read so far. */
    std::vector<platform::StoreRow> m_snapshotRows;
    StoreClock m_clock;

    /** Polls for changes; without a snapshot, reads the snapshot page that starts at key @p from. */
    void sendRequest(const std::string &from);
    void logEra(const platform::StoreReply &reply);
    void handleSnapshot(const platform::StoreReply &reply, TimePoint requestedAt);
    void handleChanges(const platform::StoreReply &reply, TimePoint requestedAt);
    void handleFailure(const platform::StoreReply &reply);
    /** The earliest time at which the store can have produced the response. Updates the clock. */
    TimePoint producedAtOf(const platform::StoreReply &reply, TimePoint requestedAt);
    void handleSuccess(TimePoint producedAt, bool hadChanges);

public:
    StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, PollSettings pollSettings, Handlers handlers);

    /** Reads the table and polls for changes from then on. */
    void start();

    /** Reads the table once, with retries until it succeeds. Must not be called after start(). */
    void readOnce();

    /** The clock of the store, as known from its responses. */
    const StoreClock &clock() const;

    /** Whether the table has been read, and the last request did not fail. */
    bool isConnected() const;
};

}
