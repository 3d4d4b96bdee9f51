#include "main/proxy/enginelinks.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration linkCheckPeriod = std::chrono::milliseconds(1000);

// The endpoint list and the engine's report take the start time from the same clock, so both must be equal.
constexpr std::int64_t startTimeToleranceMilliseconds = 0;

// Rates are tokens per millisecond in decisions and tokens per second in messages.
constexpr double millisecondsPerSecond = 1000;

}

EngineLinks::EngineLinks(DaemonCore &core, PeerLinks &links, OperatorFeed &operatorFeed, EndpointFeed &endpointFeed,
                         EndpointPlacement &enginePlacement, QuotaGate &quotaGate, DecisionLog &log, int peerPort)
    : m_core(core)
    , m_links(links)
    , m_operatorFeed(operatorFeed)
    , m_endpointFeed(endpointFeed)
    , m_enginePlacement(enginePlacement)
    , m_quotaGate(quotaGate)
    , m_log(log)
    , m_peerPort(peerPort)
{
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.engineState) {
            handleState(body.engineState);
        }
    });
    m_endpointFeed.onChange([this]() {
        if (listedDaemonAddresses() != m_daemonAddresses) {
            refreshLinks();
        }
    });
    m_core.timers().subscribe(linkCheckPeriod, [this](TimePoint) {
        refreshLinks();
    });
}

void EngineLinks::onEngineStarted(EngineStartedHandler handler)
{
    m_engineStartedHandler = std::move(handler);
}

void EngineLinks::onEngineSilent(EngineSilentHandler handler)
{
    m_engineSilentHandler = std::move(handler);
}

const std::set<std::string> &EngineLinks::daemonAddresses() const
{
    return m_daemonAddresses;
}

std::string EngineLinks::daemonAddress(const ListedEndpoint &endpoint) const
{
    return parseSocketAddress(endpoint.address).host + ":" + std::to_string(m_peerPort);
}

std::set<std::string> EngineLinks::listedDaemonAddresses() const
{
    std::set<std::string> addresses;
    const std::shared_ptr<const TrafficConfig> config = m_operatorFeed.config();
    if (config == nullptr) {
        return addresses;
    }
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().all()) {
        const auto service = config->services.find(endpoint->service);
        if (service != config->services.end() && service->second.isEngine) {
            addresses.insert(daemonAddress(*endpoint));
        }
    }
    return addresses;
}

void EngineLinks::refreshLinks()
{
    wire::Body hello;
    hello.__set_entryHello(wire::EntryHello());
    // A new configuration may have changed which services are model engines.
    m_daemonAddresses = listedDaemonAddresses();
    for (const std::string &address : m_daemonAddresses) {
        m_links.sendTo(address, hello);
    }
}

void EngineLinks::handleState(const wire::EngineState &state)
{
    const auto known = m_states.find(state.address);
    if (known == m_states.end() || known->second.weightsVersion != state.weightsVersion || known->second.isLoading != state.isLoading
        || known->second.isAnswering != state.isAnswering) {
        m_log.write("engine", "state changed",
                    {{"address", state.address},
                     {"weights", std::to_string(state.weightsVersion)},
                     {"loading", state.isLoading ? "yes" : "no"},
                     {"answering", state.isAnswering ? "yes" : "no"}});
    }
    const bool isOtherIncarnation = known != m_states.end() && state.startedMs > known->second.startedMs;
    const bool isNewlySilent = known != m_states.end() && known->second.isAnswering && !state.isAnswering;
    m_states[state.address] = state;
    if (state.entryDaemons > 0) {
        m_quotaGate.setDaemonCount(state.entryDaemons);
    }
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().atAddress(state.address)) {
        applyState(*endpoint, state);
    }
    if (isOtherIncarnation && m_engineStartedHandler) {
        m_engineStartedHandler(state.address, state.startedMs);
    }
    if (isNewlySilent && m_engineSilentHandler) {
        m_engineSilentHandler(state.address);
    }
}

void EngineLinks::applyState(const ListedEndpoint &endpoint, const wire::EngineState &state)
{
    if (std::abs(endpoint.startedMs - state.startedMs) > startTimeToleranceMilliseconds && endpoint.startedMs != 0
        && state.startedMs != 0) {
        return;
    }
    EngineView view;
    view.weightsVersion = state.weightsVersion;
    view.isLoading = state.isLoading;
    view.isAnswering = state.isAnswering;
    view.running = state.running;
    view.generating = std::max<std::int64_t>(0, state.running - state.prefilling);
    view.waiting = state.waiting + state.prefilling;
    view.prefillTokensPerMs = static_cast<double>(state.prefillTokensPerSecond) / millisecondsPerSecond;
    view.reportedAt = Loop::now();
    m_enginePlacement.setView(endpoint.id, view);
}

}
