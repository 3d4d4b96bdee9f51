#pragma once

#include "main/feeds/storefeed.h"
#include "servers/endpointdirectory.h"

#include <functional>
#include <vector>

namespace citronspar
{

/** Keeps the directory of endpoints in step with the platform's list. */
class EndpointFeed
{
public:
    using ChangeHandler = std::function<void()>;

private:
    DecisionLog &m_log;
    EndpointDirectory m_directory;
    StoreFeed m_feed;
    std::vector<ChangeHandler> m_changeHandlers;
    bool m_isKnown = false;

    void takeSnapshot(const std::vector<platform::StoreRow> &rows);
    void takeChanges(const std::vector<platform::StoreRow> &rows);
    void logMalformed(const platform::StoreRow &row);
    void changed();

public:
    /** @param returnGrace see EndpointDirectory */
    EndpointFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::Pace pace, Duration returnGrace);

    /** Called when an endpoint came, changed or left. */
    void onChange(ChangeHandler handler);
    /** Follows the list. */
    void start();

    /** Reads the list once. */
    void readOnce();

    const EndpointDirectory &directory() const;

    /** Whether the list was read at least once. */
    bool isKnown() const;
};

}
