#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "servers/endpointplacement.h"
#include "servers/quotagate.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace citronspar
{

/** Keeps the entry daemon's links to the endpoint daemons of all listed engines and applies the engine states that they publish. */
class EngineLinks
{
public:
    using EngineStartedHandler = std::function<void(const std::string &address, std::int64_t startedMs)>;
    using EngineSilentHandler = std::function<void(const std::string &address)>;

private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    OperatorFeed &m_operatorFeed;
    EndpointFeed &m_endpointFeed;
    EndpointPlacement &m_enginePlacement;
    QuotaGate &m_quotaGate;
    DecisionLog &m_log;
    int m_peerPort;
    std::set<std::string> m_daemonAddresses;
    /** The latest state by engine address. */
    std::map<std::string, wire::EngineState> m_states;
    EngineStartedHandler m_engineStartedHandler;
    EngineSilentHandler m_engineSilentHandler;

    std::set<std::string> listedDaemonAddresses() const;
    void handleState(const wire::EngineState &state);
    void applyState(const ListedEndpoint &endpoint, const wire::EngineState &state);

public:
    /** @param peerPort the peer port of the endpoint daemons */
    EngineLinks(DaemonCore &core, PeerLinks &links, OperatorFeed &operatorFeed, EndpointFeed &endpointFeed,
                EndpointPlacement &enginePlacement, QuotaGate &quotaGate, DecisionLog &log, int peerPort);

    /**
     * Sets the handler that is called when an endpoint daemon reports that another incarnation of its engine runs, with the
     * address of the engine and its start time in milliseconds since the epoch.
     */
    void onEngineStarted(EngineStartedHandler handler);

    /** Sets the handler that is called when an engine no longer answers its endpoint daemon, with the address of the engine. */
    void onEngineSilent(EngineSilentHandler handler);

    /** The peer addresses of the endpoint daemons of all listed engines. */
    const std::set<std::string> &daemonAddresses() const;

    /** The peer address of the endpoint daemon on the host of @p endpoint. */
    std::string daemonAddress(const ListedEndpoint &endpoint) const;

    /** Updates the daemon addresses and sends a hello to each, which opens missing links. */
    void refreshLinks();
};

}
