#pragma once

#include "drivers/decisionlog.h"
#include "drivers/httppool.h"
#include "main/daemoncore.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "main/role.h"
#include "main/rollouts/rolloutservice.h"
#include "platform/engineclient.h"
#include "servers/endpointlimitholder.h"
#include "servers/prefixdirectory.h"
#include "servers/prompttracker.h"
#include "servers/quota/accountlimits.h"
#include "servers/quotaholder.h"
#include "servers/weights/weightsrollout.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citronspar
{

/**
 * The endpoint daemon of an engine on the users' platform. It polls the engine,
 * orders it to load weights, holds quota of client accounts and publishes the
 * engine state to the entry daemons.
 */
class SidecarRole : public Role
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    DecisionLog m_log;
    HttpPool m_pool;
    platform::StoreClient m_store;
    OperatorFeed m_operatorFeed;
    EndpointFeed m_endpointFeed;
    platform::EngineClient m_engineClient;
    WeightsRollout m_rollout;
    QuotaHolder m_quotaHolder;
    AccountLimits m_accountLimits;
    EndpointLimitHolder m_endpointLimitHolder;
    PromptTracker m_promptTracker;
    PrefixDirectory m_prefixDirectory;
    /** nullptr if roll-outs of software versions are off. */
    std::unique_ptr<RolloutService> m_rollouts;
    /** The entry daemons, with the time of the last hello from each. */
    std::map<std::string, TimePoint> m_entryDaemons;
    std::string m_engineAddress;
    std::optional<platform::EngineReport> m_report;
    bool m_isAnswering = false;
    bool m_isReportPending = false;
    bool m_isOrderPending = false;
    /** Whether the endpoint list has been read since the operators last set a weights version. */
    bool m_isListCurrent = false;
    /** The fencing token of this process; 0 until the store has issued one. */
    std::int64_t m_fencingToken = 0;
    std::set<PeerNetwork::LinkId> m_subscribers;
    wire::EngineState m_publishedState;
    TimePoint m_publishedAt = timeNever;

    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void handleEntryHello(const MessageOrigin &origin);
    void handleReserve(const MessageOrigin &origin, const wire::Reserve &reserve);
    std::optional<TrafficAccount> resolveAccount(const MessageOrigin &origin, const wire::Reserve &reserve);
    /** Time since the store confirmed this daemon's copy of the configuration, in milliseconds. */
    std::string configAgeText() const;
    void handleEndpointReserve(const MessageOrigin &origin, const wire::EndpointReserve &reserve);
    void handleProbe(const MessageOrigin &origin, const wire::Probe &probe);
    void handlePrefixUse(const wire::PrefixUse &use);
    void handlePromptMessage(const MessageOrigin &origin, const wire::Body &body);
    int countEntryDaemons(TimePoint now);
    void acquireFencingToken();
    /** Replaces a token that is lower than the engine has seen. */
    void renewFencingToken();
    void tick(TimePoint now);
    void requestReport();
    void handleReport(const std::optional<platform::EngineReport> &report);
    void updateWantedWeights();
    void update();
    void sendLoadOrder();
    const ListedEndpoint *findOwnEntry() const;
    /** Number of requests that the engine last reported as running without output. */
    std::int64_t reportedPrefilling() const;
    wire::EngineState currentState();
    void publishIfDue();
    void sendState(PeerNetwork::LinkId link, const wire::EngineState &state);

public:
    SidecarRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings);

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
