#pragma once

#include "main/daemoncore.h"
#include "main/peerlinks.h"
#include "main/proxy/crashguard.h"
#include "main/proxy/enginelinks.h"
#include "main/proxy/kvstorewatch.h"
#include "main/proxy/occupantcheck.h"
#include "main/proxy/proxycall.h"
#include "main/proxy/proxyservices.h"
#include "main/role.h"
#include "main/rollouts/rolloutclient.h"
#include "servers/shutdownplan.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** The entry daemon on the users' platform: a reverse proxy that forwards callers' requests to endpoints over HTTP. */
class ProxyRole : public Role
{
private:
    DaemonCore &m_core;
    PlatformSettings m_platform;
    DecisionLog m_log;
    HttpPool m_pool;
    HttpListener m_listener;
    HttpListener m_readinessListener;
    platform::StoreClient m_store;
    OperatorFeed m_operatorFeed;
    EndpointFeed m_endpointFeed;
    EndpointPlacement m_enginePlacement;
    EndpointPlacement m_plainPlacement;
    TransferPlanner m_transferPlanner;
    KvStoreWatch m_kvStoreWatch;
    RetryBudget m_retryBudget;
    KeyFreshness m_keyFreshness;
    QuotaGate m_quotaGate;
    QuotaClient m_quotaClient;
    EngineLinks m_engineLinks;
    EngineProbes m_engineProbes;
    CrashGuard m_crashGuard;
    OccupantCheck m_occupantCheck;
    StreamVersions m_streamVersions;
    /** nullptr if roll-outs of software versions are off. */
    std::unique_ptr<RolloutClient> m_rollouts;
    EndpointSignals m_endpointSignals;
    EndpointLimits m_endpointLimits;
    ShutdownPlan m_shutdown;
    ProxyServices m_services;
    std::map<HttpListener::ExchangeId, std::unique_ptr<ProxyCall>> m_calls;
    /** Requests received before the first configuration and endpoint list. */
    std::map<HttpListener::ExchangeId, HttpIncomingRequest> m_heldRequests;

    std::unique_ptr<RolloutClient> makeRollouts(PeerLinks &links);
    void holdRequest(HttpListener::ExchangeId id, HttpIncomingRequest request);
    void startHeldRequests();
    void startCall(HttpListener::ExchangeId id, HttpIncomingRequest request);
    void refuseWhileStopping(HttpListener::ExchangeId id, const HttpIncomingRequest &request);
    void removeCall(HttpListener::ExchangeId id);
    /** Ends the calls that did not complete in the grace. */
    void endOpenCalls();
    /** Handles the starts that the list shows for the first time. */
    void handleListedStarts();
    /** Asks endpoints for their ids where the list leaves it open which one is at an address. */
    void checkOccupants();
    void handleEndpointStarted(const EndpointStart &start);
    /** The path at which the endpoint of @p start answers health checks. */
    std::string healthPathOf(const EndpointStart &start) const;
    /** The endpoint at the address of @p expected has stated that its id is @p occupant. */
    void handleOccupant(const EndpointStart &expected, const std::string &occupant);
    /** A call that ends during iteration is removed from the map at once and destroyed in the next loop iteration. */
    std::vector<ProxyCall *> currentCalls() const;
    void handleReadinessRequest(HttpListener::ExchangeId id, const HttpIncomingRequest &request);
    bool isReady() const;
    void applyLimits(const TrafficConfig &config);
    void handleRefusal(HttpListener::RefusalReason reason, std::size_t heldBytes);

public:
    ProxyRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings);

    /** Whether a configuration and the endpoint list have been read. */
    bool hasInitialState() const;

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
