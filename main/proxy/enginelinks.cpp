#include "main/proxy/enginelinks.h"

#include <cstdlib>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration linkCheckPeriod = std::chrono::milliseconds(1000);

// The list tells an engine's start by its clock, its report by the same clock.
constexpr std::int64_t sameStartMilliseconds = 0;

}

EngineLinks::EngineLinks(DaemonCore &core, PeerLinks &links, OperatorFeed &operators, EndpointFeed &endpoints, EndpointPlacement &engines,
                         QuotaGate &quotas, DecisionLog &log, int peerPort)
    : m_core(core)
    , m_links(links)
    , m_operators(operators)
    , m_endpoints(endpoints)
    , m_engines(engines)
    , m_quotas(quotas)
    , m_log(log)
    , m_peerPort(peerPort)
{
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.engineState) {
            takeState(body.engineState);
        }
    });
    m_endpoints.onChange([this]() {
        if (listedAddresses() != m_addresses) {
            keepLinks();
        }
    });
    m_core.timers().subscribe(linkCheckPeriod, [this](TimePoint) {
        keepLinks();
    });
}

const std::set<std::string> &EngineLinks::daemonAddresses() const
{
    return m_addresses;
}

std::string EngineLinks::daemonAddress(const ListedEndpoint &endpoint) const
{
    return parseSocketAddress(endpoint.address).host + ":" + std::to_string(m_peerPort);
}

std::set<std::string> EngineLinks::listedAddresses() const
{
    std::set<std::string> addresses;
    const std::shared_ptr<const TrafficConfig> config = m_operators.config();
    if (config == nullptr) {
        return addresses;
    }
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints.directory().all()) {
        const auto service = config->services.find(entry.second.service);
        if (service != config->services.end() && service->second.isEngine) {
            addresses.insert(daemonAddress(entry.second));
        }
    }
    return addresses;
}

void EngineLinks::keepLinks()
{
    wire::Body hello;
    hello.__set_entryHello(wire::EntryHello());
    // A new configuration may have made other services model engines.
    m_addresses = listedAddresses();
    for (const std::string &address : m_addresses) {
        m_links.sendTo(address, hello);
    }
}

void EngineLinks::takeState(const wire::EngineState &state)
{
    const auto known = m_states.find(state.address);
    if (known == m_states.end() || known->second.weightsVersion != state.weightsVersion || known->second.isLoading != state.isLoading
        || known->second.isAnswering != state.isAnswering) {
        m_log.write("engine", "state",
                    {{"address", state.address},
                     {"weights", std::to_string(state.weightsVersion)},
                     {"loading", state.isLoading ? "yes" : "no"},
                     {"answering", state.isAnswering ? "yes" : "no"}});
    }
    m_states[state.address] = state;
    if (state.entryDaemons > 0) {
        m_quotas.setDaemons(state.entryDaemons);
    }
    for (const ListedEndpoint *endpoint : m_endpoints.directory().atAddress(state.address)) {
        applyState(*endpoint, state);
    }
}

void EngineLinks::applyState(const ListedEndpoint &endpoint, const wire::EngineState &state)
{
    if (std::abs(endpoint.startedMs - state.startedMs) > sameStartMilliseconds && endpoint.startedMs != 0 && state.startedMs != 0) {
        return;
    }
    EngineView view;
    view.weightsVersion = state.weightsVersion;
    view.isLoading = state.isLoading;
    view.isAnswering = state.isAnswering;
    view.running = state.running;
    view.waiting = state.waiting + state.prefilling;
    view.toldAt = Loop::now();
    m_engines.setView(endpoint.id, view);
}

}
