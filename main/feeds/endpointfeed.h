#pragma once

#include "main/feeds/storefeed.h"
#include "servers/endpointdirectory.h"

#include <functional>
#include <vector>

namespace citronspar
{

/** Keeps the endpoint directory in sync with the endpoint table of the platform's store. */
class EndpointFeed
{
public:
    using ChangeHandler = std::function<void()>;

private:
    DecisionLog &m_log;
    EndpointDirectory m_directory;
    StoreFeed m_feed;
    std::vector<ChangeHandler> m_changeHandlers;
    bool m_hasSnapshot = false;

    void applySnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra);
    void applyChanges(const std::vector<platform::StoreRow> &rows);
    void logMalformed(const platform::StoreRow &row);
    void notifyChange();

public:
    /** @param returnGrace see EndpointDirectory */
    EndpointFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::PollSettings pollSettings, Duration returnGrace);

    /** Adds a handler that is called when endpoints were added, changed or removed. */
    void onChange(ChangeHandler handler);
    /** Reads the endpoint list and polls for changes from then on. */
    void start();

    /** Reads the endpoint list once, with retries until it succeeds. Must not be called after start(). */
    void readOnce();

    const EndpointDirectory &directory() const;

    /** Whether the endpoint list was read at least once. */
    bool hasSnapshot() const;
};

}
