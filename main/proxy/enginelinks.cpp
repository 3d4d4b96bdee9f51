#include "main/proxy/enginelinks.h"

#include "core/hash.h"

#include <cstdlib>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration linkCheckPeriod = std::chrono::milliseconds(300);

// Daemons that hold no account of present callers hear from this one each so many rounds.
constexpr int helloRounds = 4;

constexpr std::uint64_t holderSeed = 0x40de;

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
        } else if (body.__isset.shareGrant) {
            takeGrant(body.shareGrant);
        }
    });
    m_core.timers().subscribe(linkCheckPeriod, [this](TimePoint) {
        keepLinks();
    });
}

std::set<std::string> EngineLinks::daemonAddresses() const
{
    std::set<std::string> addresses;
    const std::shared_ptr<const TrafficConfig> config = m_operators.config();
    if (config == nullptr) {
        return addresses;
    }
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints.directory().all()) {
        const auto service = config->services.find(entry.second.service);
        if (service != config->services.end() && service->second.isEngine) {
            addresses.insert(parseSocketAddress(entry.second.address).host + ":" + std::to_string(m_peerPort));
        }
    }
    return addresses;
}

std::string EngineLinks::holderOf(const std::string &account, const std::set<std::string> &addresses) const
{
    std::string holder;
    std::uint64_t best = 0;
    for (const std::string &address : addresses) {
        const std::uint64_t weight = hashBytes(address, hashBytes(account, holderSeed));
        if (holder.empty() || weight > best) {
            holder = address;
            best = weight;
        }
    }
    return holder;
}

void EngineLinks::sendReport(const std::string &address, std::vector<wire::AccountDemand> demands)
{
    wire::DemandReport report;
    report.__set_reportId(++m_lastReport);
    report.__set_demands(std::move(demands));
    m_reportTimes[m_lastReport] = Loop::now();
    wire::Body body;
    body.__set_demandReport(report);
    m_links.sendTo(address, body);
}

void EngineLinks::keepLinks()
{
    const std::set<std::string> addresses = daemonAddresses();
    std::map<std::string, std::vector<wire::AccountDemand>> demandsByHolder;
    const TimePoint now = Loop::now();
    for (const QuotaGate::Demand &demand : m_quotas.takeDemands(now)) {
        wire::AccountDemand told;
        told.__set_account(demand.account);
        told.__set_perSecond(demand.perSecond);
        demandsByHolder[holderOf(demand.account, addresses)].push_back(told);
    }
    const bool tellsAll = m_rounds++ % helloRounds == 0;
    for (const std::string &address : addresses) {
        const auto demands = demandsByHolder.find(address);
        if (demands != demandsByHolder.end()) {
            sendReport(address, std::move(demands->second));
        } else if (tellsAll) {
            sendReport(address, {});
        }
    }
    while (!m_reportTimes.empty() && now - m_reportTimes.begin()->second > QuotaGate::leaseTime) {
        m_reportTimes.erase(m_reportTimes.begin());
    }
}

void EngineLinks::takeGrant(const wire::ShareGrant &grant)
{
    const auto sent = m_reportTimes.find(grant.reportId);
    if (sent == m_reportTimes.end()) {
        return;
    }
    for (const wire::AccountShare &share : grant.shares) {
        m_quotas.grant(share.account, share.share, sent->second);
    }
    m_reportTimes.erase(sent);
    if (grant.entryDaemons > 0) {
        m_quotas.setDaemons(grant.entryDaemons);
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
    for (const std::pair<const std::string, ListedEndpoint> &entry : m_endpoints.directory().all()) {
        if (entry.second.address == state.address) {
            applyState(entry.second, state);
        }
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
    view.waiting = state.waiting;
    view.toldAt = Loop::now();
    m_engines.setView(endpoint.id, view);
}

}
