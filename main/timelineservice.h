#pragma once

#include "main/configservice.h"
#include "main/peerlinks.h"

#include <functional>
#include <map>
#include <vector>

namespace citronspar
{

/** Gathers the time lines of all daemons into one. */
class TimelineService
{
public:
    using DoneHandler = std::function<void(std::vector<TimelineEvent> events, std::size_t silentDaemons)>;

private:
    struct Round
    {
        std::vector<TimelineEvent> events;
        std::size_t outstanding = 0;
        DoneHandler handler;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    std::map<std::int64_t, Round> m_rounds;

    void handle(const MessageOrigin &origin, const wire::Body &body);
    void answer(const MessageOrigin &origin, const wire::TimelineQuestion &question);
    void finish(std::int64_t id);

public:
    TimelineService(DaemonCore &core, PeerLinks &links, ConfigService &config);

    /** Asks all daemons; after a short time the handler gets what came, in order. */
    void gather(DoneHandler handler);
};

}
