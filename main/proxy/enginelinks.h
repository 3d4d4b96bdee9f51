#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "servers/endpointplacement.h"
#include "servers/quotagate.h"

#include <map>
#include <set>
#include <string>

namespace citronspar
{

/** The links of an entry daemon to the daemons beside the engines, and what these tell. */
class EngineLinks
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    OperatorFeed &m_operators;
    EndpointFeed &m_endpoints;
    EndpointPlacement &m_engines;
    QuotaGate &m_quotas;
    DecisionLog &m_log;
    int m_peerPort;
    /** The addresses of the daemons beside the listed engines. */
    std::set<std::string> m_addresses;
    /** The newest state by the address of the engine. */
    std::map<std::string, wire::EngineState> m_states;

    std::set<std::string> listedAddresses() const;
    void takeState(const wire::EngineState &state);
    void applyState(const ListedEndpoint &endpoint, const wire::EngineState &state);

public:
    /** @param peerPort the port of the daemon beside each engine */
    EngineLinks(DaemonCore &core, PeerLinks &links, OperatorFeed &operators, EndpointFeed &endpoints, EndpointPlacement &engines,
                QuotaGate &quotas, DecisionLog &log, int peerPort);

    /** The addresses of the daemons beside the listed engines. */
    const std::set<std::string> &daemonAddresses() const;

    /** The address of the daemon beside an endpoint. */
    std::string daemonAddress(const ListedEndpoint &endpoint) const;

    /** Opens links to daemons that have none. */
    void keepLinks();
};

}
