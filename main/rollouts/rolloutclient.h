#pragma once

#include "drivers/decisionlog.h"
#include "main/daemoncore.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "main/proxy/enginelinks.h"
#include "main/proxy/streamversions.h"
#include "servers/rollouts/holderselection.h"
#include "servers/rollouts/versionaccess.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * The entry daemon's part in roll-outs: decides for each attempt which software versions it may go to, counts the attempts
 * by version, and exchanges reports and permits with the holder of each roll-out. Reads the table of roll-outs only once an
 * order is known.
 */
class RolloutClient
{
public:
    using AttemptId = std::uint64_t;

    /** Which versions one attempt may go to, and on what grounds. */
    struct Decision
    {
        VersionAccess::Access access;
        bool isPinned = false;
        /** The store's version of the order's row; 0 without an order. */
        std::int64_t order = 0;
    };

private:
    struct SentReport
    {
        std::string address;
        TimePoint sentAt{};
    };

    struct Service
    {
        VersionAccess access;
        HolderSelection holder;
        std::int64_t lastSequence = 0;
        /** The last reports, by sequence number. */
        std::map<std::int64_t, SentReport> sent;
        /** The order and the phase that were logged last. */
        std::int64_t loggedOrder = 0;
        std::optional<RolloutPhase> loggedPhase;
        /** When the usable versions were seen first. */
        std::map<std::string, TimePoint> seenSince;

        explicit Service(HolderSelection::Selector selector);
    };

    struct Attempt
    {
        std::string service;
        std::string route;
        std::string version;
        /** The order that the attempt was counted for; 0 if none was known. */
        std::int64_t order = 0;
        TimePoint sentAt{};
        std::optional<Duration> timeToFirstEvent;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    DecisionLog &m_log;
    OperatorFeed &m_operatorFeed;
    EndpointFeed &m_endpointFeed;
    EngineLinks &m_engineLinks;
    StreamVersions &m_streamVersions;
    std::function<int()> m_daemonCount;
    StoreFeed m_feed;
    bool m_isFollowing = false;
    std::function<void()> m_readyHandler;
    std::map<std::string, std::unique_ptr<Service>> m_services;
    std::map<AttemptId, Attempt> m_attempts;
    AttemptId m_lastAttempt = 0;

    Service &serviceOf(const std::string &name);
    void handleOrder(const RolloutOrder &order);
    void handleSnapshot(const std::vector<platform::StoreRow> &rows);
    void applyRow(const platform::StoreRow &row);
    /** Passes the software versions of the usable endpoints on to the VersionAccess of each service. */
    void updateListed();
    void updateListed(const std::string &name);
    void scheduleTick();
    void tick();
    void report(const std::string &name, Service &service);
    void handlePermit(const wire::RolloutPermit &permit);
    void logPhase(const std::string &name, Service &service);
    /** The store's version of the row of the order that is acted upon; 0 if none is known. */
    static std::int64_t orderOf(const Service &service);
    /** The suffix of metrics about @p version. */
    static const char *versionName(const Service &service, const std::string &version);

public:
    /** @param daemonCount the number of entry daemons */
    RolloutClient(DaemonCore &core, PeerLinks &links, platform::StoreClient &store, DecisionLog &log, OperatorFeed &operatorFeed,
                  EndpointFeed &endpointFeed, EngineLinks &engineLinks, StreamVersions &streamVersions, std::function<int()> daemonCount);

    /** Sets the handler that is called when the table of roll-outs has been read. */
    void onReady(std::function<void()> handler);
    /** Whether no order is known, or the table of roll-outs has been read. */
    bool isReady() const;

    /**
     * Decides about the next attempt of a request.
     * @param pinned the version that the stream has begun at; nullopt if it may begin anywhere
     * @return nullopt if no version may be used, for a pinned stream
     */
    std::optional<Decision> decide(const std::string &service, const std::string &route, const std::optional<std::string> &pinned);
    /**
     * Whether an attempt may still be sent to an endpoint of @p version on the grounds of @p decision. If not, the next decision
     * takes the present list of endpoints into account.
     */
    bool maySend(const std::string &service, const std::string &version, const Decision &decision);
    /** Returns what was granted for an attempt that is not sent. */
    void returnGrant(const std::string &service, const Decision &decision);

    /** Records that an attempt is sent to an endpoint of @p version. Each id has to be passed to one of the functions below. */
    AttemptId recordSent(const std::string &service, const std::string &route, const std::string &version);
    /** Records that the first event of a stream has arrived; later calls for one attempt are ignored. */
    void recordFirstEvent(AttemptId id);
    void recordEnded(AttemptId id, bool isFailed);
    /** Ends an attempt that is no evidence for the verdict: it was not run, or was cancelled by this daemon or by the caller. */
    void recordWithdrawn(AttemptId id);
};

}
