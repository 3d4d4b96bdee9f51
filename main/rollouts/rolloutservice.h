#pragma once

#include "drivers/decisionlog.h"
#include "main/daemoncore.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "servers/rollouts/rolloutholder.h"
#include "servers/storeclock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * The endpoint daemon's part in roll-outs: answers the reports of entry daemons with permits, and reads and writes the
 * rows that RolloutHolder decides about. Calls the store about a service only while entry daemons report on it.
 */
class RolloutService
{
private:
    /** Sums of one daemon's last report, for the log. */
    struct Totals
    {
        std::int64_t requests = 0;
        std::int64_t failures = 0;
    };
    struct DaemonTotals
    {
        Totals oldVersion;
        Totals newVersion;
    };

    struct Service
    {
        RolloutHolder holder;
        std::int64_t loggedOrder = 0;
        std::optional<RolloutPhase> loggedPhase;
        RolloutPermit lastPermit;
        RolloutHolder::Fleet fleet;
        std::map<std::string, DaemonTotals> totals;
        /** The store has come back from an older copy since the row was read. */
        bool isRereadDue = false;
        TimePoint readAt = timeNever;
        bool isCallPending = false;
        /** No call to the store is made before this time. */
        TimePoint nextCallAt{};
        Duration retryDelay{};

        explicit Service(RolloutHolder rolloutHolder);
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    OperatorFeed &m_operatorFeed;
    /** Read every second while a roll-out runs; the list of the role is read only when weights change. */
    EndpointFeed m_endpointFeed;
    RolloutBounds m_bounds;
    Duration m_keyRevocation;
    StoreClock m_storeClock;
    std::map<std::string, std::unique_ptr<Service>> m_services;
    /** The entry daemons by name, with the time of the last message from each. */
    std::map<std::string, TimePoint> m_entryDaemons;
    /** The incarnations of each entry daemon in the order in which they were first heard from. */
    std::map<std::string, std::vector<std::int64_t>> m_incarnations;
    std::optional<std::int64_t> m_era;
    TimePoint m_listReadAt = timeNever;

    Service &serviceOf(const std::string &name);
    void handleReport(const MessageOrigin &origin, const wire::RolloutReport &message);
    /** The name of the sender's incarnation as in RolloutReport::daemon, with a number that grows. */
    std::string incarnationName(const MessageOrigin &origin);
    void handleEra(std::int64_t era);
    void tick(TimePoint now);
    void update(const std::string &name, Service &service, TimePoint now);
    void readList(TimePoint now);
    void updateFleet(const std::string &name, Service &service, TimePoint now);
    bool isOwnRow(const Service &service) const;
    void read(const std::string &name, Service &service);
    void handleRead(const std::string &name, Service &service, TimePoint sentAt, const platform::StoreReply &reply);
    void write(const std::string &name, Service &service, const RolloutHolder::Write &write);
    void handleWritten(const std::string &name, Service &service, const RolloutHolder::Write &write, const platform::StoreReply &reply);
    void delayCalls(Service &service, TimePoint now);
    void logDecision(const std::string &name, Service &service, const RolloutHolder::Write &write);

public:
    /** @param keyRevocation how long an entry daemon that is not heard from counts as in touch */
    RolloutService(DaemonCore &core, PeerLinks &links, platform::StoreClient &store, DecisionLog &log, OperatorFeed &operatorFeed,
                   StoreFeed::PollSettings listPolling, Duration returnGrace, const RolloutBounds &bounds, Duration keyRevocation);
};

}
