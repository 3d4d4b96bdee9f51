#pragma once

#include "main/proxy/proxyservices.h"
#include "servers/rollouts/versionaccess.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Selects the endpoint for each attempt of one request. For model engines it
 * probes the endpoint daemons of the best ranked candidates for their current
 * load first, and reports to the selected one which prompt is sent.
 */
class EndpointSearch
{
public:
    /** The properties of the request that selection depends on. */
    struct Criteria
    {
        std::string service;
        bool isEngineService = false;
        /** Empty if the request names none. */
        std::string model;
        PlacedPrompt prompt;
        /** The client account if it must not share cached prefixes with others; otherwise empty. */
        std::string isolatedAccount;
        /** The route's objective for the longest pause between events; zero if there is none. */
        Duration gapTarget = Duration::zero();
        /** Tokens that one event of a stream of the service carries; 0 if unknown. */
        int tokensPerEvent = 0;
        /** 0 is the most urgent; negative if unknown. */
        int priority = -1;
        /** The route's objective for the first event. */
        Duration targetLatency = Duration::zero();
    };
    /** Receives nullopt if no endpoint can take the request. */
    using Handler = std::function<void(const std::optional<EndpointPlacement::Choice> &choice)>;

private:
    ProxyServices &m_services;
    Criteria m_criteria;
    Handler m_handler;
    std::vector<std::string> m_excluded;
    EndpointPlacement::LoadById m_loads;
    /** The software version that the stream has begun at. */
    std::optional<std::string> m_softwareVersion;
    /** The software versions that the next attempt may go to. */
    VersionAccess::Access m_versionAccess;
    /** The only endpoints that the next attempt may go to; empty for all. */
    std::set<std::string> m_canaryEndpoints;
    int m_probeRounds = 0;
    EngineProbes::QueryId m_probeQuery = 0;
    EngineProbes::PromptId m_reportedPrompt = 0;
    /** The peer address of the prefix's directory; empty if the request was sent to the engine there. */
    std::string m_directoryAddress;
    std::int64_t m_saltedPrefix = 0;

    EndpointPlacement &placement() const;
    /** Whether the endpoint may get the request, whatever its load. */
    bool isCandidate(const ListedEndpoint &endpoint) const;
    std::vector<EndpointPlacement::Choice> rank() const;
    void search();
    void probe(const std::vector<EndpointPlacement::Choice> &ranked);
    /** Whether the prefix is long enough to be recorded in its directory. */
    bool isPrefixRecorded() const;
    void addProbeTarget(const std::string &engine, std::int64_t weightsVersion, std::vector<EngineProbes::Target> &targets) const;
    /** Returns an empty address if the engine is not listed. */
    std::string daemonAddress(const std::string &engine) const;
    EngineProbes::Prefixes saltedPrefixes(std::int64_t weightsVersion) const;

public:
    EndpointSearch(ProxyServices &services, Criteria criteria);
    ~EndpointSearch();

    EndpointSearch(const EndpointSearch &) = delete;
    EndpointSearch &operator=(const EndpointSearch &) = delete;

    /**
     * Selects the endpoint for the next attempt. The handler is called synchronously if no probe is needed.
     * @param excluded ids of the endpoints that this request was already sent to
     */
    void start(const std::vector<std::string> &excluded, Handler handler);
    /** Only endpoints with this software version are selected from now on. */
    void requireVersion(const std::string &softwareVersion);
    /** The version that requireVersion() has set; nullopt if there is none. */
    const std::optional<std::string> &requiredVersion() const;
    /** Restricts the next attempts to the software versions that a roll-out allows, instead of earlier restrictions. */
    void setVersionAccess(const VersionAccess::Access &access);
    /** Whether the endpoint has a software version that the next attempt may go to. */
    bool isOfVersion(const ListedEndpoint &endpoint) const;
    /** The weights versions set for the model of the request. */
    const WeightsHistory &weightsHistory() const;
    /** The limit on the use of weights of @p version; nullopt if they are the newest. */
    std::optional<WeightsCutoff> weightsCutoff(std::int64_t version) const;
    /** The shortest time for which an endpoint of the service still wants no request; nullopt if none has asked for a wait. */
    std::optional<Duration> shortestWait() const;
    /** Cancels a running search; its handler is not called. */
    void cancel();

    /**
     * Records that the request is sent to @p choice. For an engine, also reports the prompt to its endpoint daemon, and a
     * save of the prefix to the prefix's directory.
     */
    void recordSent(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, const TransferPlan &transfers);
    /** Records that the prompt is no longer pending: the engine has prefilled it (@p isPrefilled) or will not. */
    void recordPromptDone(const std::string &endpoint, bool isPrefilled);

    /** The KV cache salt for these weights and this account. Engines share cached prefixes only between equal salts. */
    std::string cacheSalt(std::int64_t weightsVersion) const;
};

}
