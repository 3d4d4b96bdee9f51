#pragma once

#include "main/daemoncore.h"
#include "main/peerlinks.h"
#include "main/proxy/enginelinks.h"
#include "main/proxy/kvstorewatch.h"
#include "main/proxy/proxycall.h"
#include "main/proxy/proxyservices.h"
#include "main/role.h"
#include "servers/shutdownplan.h"

#include <map>
#include <memory>

namespace citronspar
{

/** An entry daemon on the users' platform: it passes callers' requests on to the endpoints itself. */
class ProxyRole : public Role
{
private:
    DaemonCore &m_core;
    PlatformSettings m_platform;
    DecisionLog m_log;
    HttpPool m_pool;
    HttpListener m_listener;
    HttpListener m_readyListener;
    platform::StoreClient m_store;
    OperatorFeed m_operators;
    EndpointFeed m_endpoints;
    EndpointPlacement m_engines;
    EndpointPlacement m_plain;
    TransferPlanner m_transfers;
    KvStoreWatch m_kvStoreWatch;
    RetryBudget m_retries;
    KeyFreshness m_freshness;
    QuotaGate m_quotas;
    QuotaClient m_holders;
    EngineLinks m_engineLinks;
    EngineProbes m_probes;
    ProxyServices m_services;
    std::map<HttpListener::ExchangeId, std::unique_ptr<ProxyCall>> m_calls;
    ShutdownPlan m_shutdown;
    /** Requests that came before the daemon knew a configuration and the endpoints. */
    std::map<HttpListener::ExchangeId, HttpIncoming> m_early;

    void holdEarly(HttpListener::ExchangeId id, HttpIncoming request);
    void startEarly();
    void startCall(HttpListener::ExchangeId id, HttpIncoming request);
    void refuseWhileStopping(HttpListener::ExchangeId id, const HttpIncoming &request);
    void endCall(HttpListener::ExchangeId id);
    void answerReadiness(HttpListener::ExchangeId id, const HttpIncoming &request);
    bool isReady() const;
    void applyLimits(const TrafficConfig &config);

public:
    ProxyRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings);

    /** Whether a configuration and the list of endpoints were read. */
    bool knowsFleet() const;

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
