#pragma once

#include "main/configservice.h"
#include "main/peerlinks.h"

#include <functional>
#include <map>
#include <vector>

namespace citronspar
{

/** Merges the timelines of all daemons into one. */
class TimelineService
{
public:
    using DoneHandler = std::function<void(std::vector<TimelineEvent> events, std::size_t silentDaemons)>;

private:
    struct PendingQuery
    {
        std::vector<TimelineEvent> events;
        std::size_t outstanding = 0;
        DoneHandler handler;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    std::map<std::int64_t, PendingQuery> m_pendingQueries;

    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void sendAnswer(const MessageOrigin &origin, const wire::TimelineQuestion &question);
    void finishQuery(std::int64_t id);

public:
    TimelineService(DaemonCore &core, PeerLinks &links, ConfigService &config);

    /**
     * Queries all daemons. When all have answered or a timeout has passed, @p handler gets
     * the events received so far, sorted by time, and the number of daemons without an answer.
     */
    void gather(DoneHandler handler);
};

}
