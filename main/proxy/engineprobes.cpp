#include "main/proxy/engineprobes.h"

namespace citronspar
{

namespace
{

// A daemon in the same region answers in 3 ms; latency objectives for the first token are about 500 ms.
constexpr Duration answerTimeout = std::chrono::milliseconds(12);

// Rates are tokens per millisecond in decisions and tokens per second in messages.
constexpr double millisecondsPerSecond = 1000;

}

EngineProbes::EngineProbes(DaemonCore &core, PeerLinks &links)
    : m_core(core)
    , m_links(links)
{
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.probeAnswer) {
            handleAnswer(body.probeAnswer);
        }
    });
}

EngineProbes::QueryId EngineProbes::query(const std::vector<Target> &targets, Handler handler)
{
    const QueryId id = ++m_lastQuery;
    Query &query = m_queries[id];
    query.handler = std::move(handler);
    for (const Target &target : targets) {
        wire::Probe probe;
        probe.__set_probeId(++m_lastProbe);
        probe.__set_blocks(target.prefixes);
        probe.__set_priority(target.priority);
        wire::Body body;
        body.__set_probe(probe);
        if (m_links.sendTo(target.address, body)) {
            m_probes[m_lastProbe] = {id, target.engine};
            ++query.pendingAnswers;
        }
    }
    const Duration timeout = query.pendingAnswers > 0 ? answerTimeout : Duration::zero();
    query.timer = m_core.timers().subscribeOnce(timeout, [this, id](TimePoint) {
        finish(id);
    });
    return id;
}

void EngineProbes::handleAnswer(const wire::ProbeAnswer &answer)
{
    const auto probe = m_probes.find(answer.probeId);
    if (probe == m_probes.end()) {
        return;
    }
    const std::pair<QueryId, std::string> probed = probe->second;
    m_probes.erase(probe);
    const auto query = m_queries.find(probed.first);
    if (query == m_queries.end()) {
        return;
    }
    EndpointPlacement::EngineLoad &load = query->second.loads[probed.second];
    load.pendingTokens = answer.queuedTokens;
    load.knownPrefixes = answer.cachedBlocks;
    load.prefillTokensPerMs = static_cast<double>(answer.prefillTokensPerSecond) / millisecondsPerSecond;
    load.record.engine = answer.cachedEngine;
    load.record.cachedAge = std::chrono::milliseconds(answer.cachedAgeMilliseconds);
    if (answer.savedAgeMilliseconds >= 0) {
        load.record.savedAge = std::chrono::milliseconds(answer.savedAgeMilliseconds);
    }
    if (--query->second.pendingAnswers == 0) {
        finish(probed.first);
    }
}

void EngineProbes::finish(QueryId id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end()) {
        return;
    }
    const Query query = std::move(found->second);
    cancel(id);
    query.handler(query.loads);
}

void EngineProbes::cancel(QueryId id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end()) {
        return;
    }
    m_core.timers().unsubscribe(found->second.timer);
    m_queries.erase(found);
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        it = it->second.first == id ? m_probes.erase(it) : std::next(it);
    }
}

EngineProbes::PromptId EngineProbes::reportPromptSent(const std::string &address, std::int64_t tokens, const Prefixes &prefixes,
                                                      int priority)
{
    wire::PromptSent message;
    message.__set_promptId(++m_lastPrompt);
    message.__set_tokens(tokens);
    message.__set_prefixes(prefixes);
    message.__set_priority(priority);
    wire::Body body;
    body.__set_promptSent(message);
    m_links.sendTo(address, body);
    m_prompts[m_lastPrompt] = address;
    return m_lastPrompt;
}

void EngineProbes::reportCached(const std::string &address, std::int64_t prefix, const std::string &engine)
{
    wire::PrefixUse message;
    message.__set_prefix(prefix);
    message.__set_engine(engine);
    wire::Body body;
    body.__set_prefixUse(message);
    m_links.sendTo(address, body);
}

void EngineProbes::reportSaved(const std::string &address, std::int64_t prefix)
{
    wire::PrefixUse message;
    message.__set_prefix(prefix);
    message.__set_isSaved(true);
    wire::Body body;
    body.__set_prefixUse(message);
    m_links.sendTo(address, body);
}

void EngineProbes::reportPromptDone(PromptId id, bool isPrefilled)
{
    const auto found = m_prompts.find(id);
    if (found == m_prompts.end()) {
        return;
    }
    wire::PromptDone message;
    message.__set_promptId(id);
    message.__set_isRead(isPrefilled);
    wire::Body body;
    body.__set_promptDone(message);
    m_links.sendTo(found->second, body);
    m_prompts.erase(found);
}

}
