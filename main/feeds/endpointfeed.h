#pragma once

#include "main/feeds/storefeed.h"
#include "servers/endpointdirectory.h"
#include "servers/trafficconfig.h"

#include <functional>
#include <string>
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
    ChangeHandler m_readHandler;
    bool m_hasSnapshot = false;

    void applySnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra);
    void applyChanges(const std::vector<platform::StoreRow> &rows);
    void logMalformed(const platform::StoreRow &row);
    void notifyChange();

public:
    /** @param returnGrace see EndpointDirectory */
    EndpointFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::PollSettings pollSettings, Duration returnGrace);

    /** Adds a handler that is called when endpoints were added, changed or removed, or other entries count than before. */
    void onChange(ChangeHandler handler);
    /** Sets the handler that is called when the whole list was read. */
    void onRead(ChangeHandler handler);
    /** Reads the endpoint list and polls for changes from then on. */
    void start();

    /** Reads the endpoint list once, with retries until it succeeds. Must not be called after start(). */
    void readOnce();

    /** Applies which services the newest configuration names, see EndpointDirectory::setServices(). */
    void applyConfig(const TrafficConfig &config);

    /** See EndpointDirectory::recordOccupant(). */
    void recordOccupant(const std::string &address, const std::string &id);

    const EndpointDirectory &directory() const;

    /** Whether the endpoint list was read at least once. */
    bool hasSnapshot() const;
};

}
