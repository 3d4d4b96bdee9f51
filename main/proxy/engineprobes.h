#pragma once

#include "main/peerlinks.h"
#include "servers/endpointplacement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** Queries endpoint daemons for the load and cached prefixes of their engines, and reports the prompts sent to them. */
class EngineProbes
{
public:
    using QueryId = std::int64_t;
    using PromptId = std::int64_t;
    using Prefixes = std::vector<std::int64_t>;
    struct Target
    {
        std::string engine;
        /** The peer address of its endpoint daemon. */
        std::string address;
        /** Cumulative hashes of the shared prefixes of the prompt, shortest first. */
        Prefixes prefixes;
        /** Priority of the prompt, 0 is the most urgent; negative if unknown. */
        int priority = -1;
    };
    /** Receives the loads of all engines whose daemon answered in time. */
    using Handler = std::function<void(const EndpointPlacement::LoadById &loads)>;

private:
    struct Query
    {
        Handler handler;
        EndpointPlacement::LoadById loads;
        std::size_t pendingAnswers = 0;
        TimerService::TimerId timer = 0;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    std::map<QueryId, Query> m_queries;
    /** The query and the engine of each unanswered probe. */
    std::map<std::int64_t, std::pair<QueryId, std::string>> m_probes;
    /** The daemon address that each pending prompt was reported to. */
    std::map<PromptId, std::string> m_prompts;
    QueryId m_lastQuery = 0;
    std::int64_t m_lastProbe = 0;
    PromptId m_lastPrompt = 0;

    void handleAnswer(const wire::ProbeAnswer &answer);
    void finish(QueryId id);

public:
    EngineProbes(DaemonCore &core, PeerLinks &links);

    /** Probes all @p targets in parallel. The handler is always called asynchronously, without the targets that timed out. */
    QueryId query(const std::vector<Target> &targets, Handler handler);
    /** Cancels a query; its handler is not called. */
    void cancel(QueryId id);

    /**
     * Reports to the endpoint daemon at @p address that a prompt is sent to its engine.
     * @param tokens prompt tokens that the engine has to prefill
     * @param priority 0 is the most urgent; negative if unknown
     */
    PromptId reportPromptSent(const std::string &address, std::int64_t tokens, const Prefixes &prefixes, int priority);
    /** Reports to a prefix's directory, the endpoint daemon at @p address, that @p engine has the prefix cached. */
    void reportCached(const std::string &address, std::int64_t prefix, const std::string &engine);
    /** Reports to a prefix's directory, the endpoint daemon at @p address, that a request saves the prefix to a KV cache store. */
    void reportSaved(const std::string &address, std::int64_t prefix);
    /** Reports that the prompt is no longer pending: it was prefilled (@p isPrefilled) or will not be. */
    void reportPromptDone(PromptId id, bool isPrefilled);
};

}
