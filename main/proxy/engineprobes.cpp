#include "main/proxy/engineprobes.h"

namespace citronspar
{

namespace
{

// A daemon in the same region answers in 3 ms; the objectives of the first token are some 500 ms.
constexpr Duration answerTimeout = std::chrono::milliseconds(12);

}

EngineProbes::EngineProbes(DaemonCore &core, PeerLinks &links)
    : m_core(core)
    , m_links(links)
{
    m_links.onMessage([this](const MessageOrigin &, const wire::Body &body) {
        if (body.__isset.probeAnswer) {
            take(body.probeAnswer);
        }
    });
}

EngineProbes::QuestionId EngineProbes::ask(const std::vector<Target> &targets, Handler handler)
{
    const QuestionId id = ++m_lastQuestion;
    Question &question = m_questions[id];
    question.handler = std::move(handler);
    for (const Target &target : targets) {
        wire::Probe probe;
        probe.__set_probeId(++m_lastProbe);
        probe.__set_blocks(target.prefixes);
        wire::Body body;
        body.__set_probe(probe);
        if (m_links.sendTo(target.address, body)) {
            m_probes[m_lastProbe] = {id, target.engine};
            ++question.missing;
        }
    }
    const Duration wait = question.missing > 0 ? answerTimeout : Duration::zero();
    question.timer = m_core.timers().subscribeOnce(wait, [this, id](TimePoint) {
        finish(id);
    });
    return id;
}

void EngineProbes::take(const wire::ProbeAnswer &answer)
{
    const auto probe = m_probes.find(answer.probeId);
    if (probe == m_probes.end()) {
        return;
    }
    const std::pair<QuestionId, std::string> asked = probe->second;
    m_probes.erase(probe);
    const auto question = m_questions.find(asked.first);
    if (question == m_questions.end()) {
        return;
    }
    question->second.loads[asked.second] = EndpointPlacement::EngineLoad{answer.queuedTokens, answer.cachedBlocks};
    if (--question->second.missing == 0) {
        finish(asked.first);
    }
}

void EngineProbes::finish(QuestionId id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end()) {
        return;
    }
    const Question question = std::move(found->second);
    cancel(id);
    question.handler(question.loads);
}

void EngineProbes::cancel(QuestionId id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end()) {
        return;
    }
    m_core.timers().unsubscribe(found->second.timer);
    m_questions.erase(found);
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        it = it->second.first == id ? m_probes.erase(it) : std::next(it);
    }
}

EngineProbes::PromptId EngineProbes::noteSent(const std::string &address, std::int64_t tokens, const Prefixes &prefixes)
{
    wire::PromptSent message;
    message.__set_promptId(++m_lastPrompt);
    message.__set_tokens(tokens);
    message.__set_prefixes(prefixes);
    wire::Body body;
    body.__set_promptSent(message);
    m_links.sendTo(address, body);
    m_prompts[m_lastPrompt] = address;
    return m_lastPrompt;
}

void EngineProbes::noteDone(PromptId id, bool isRead)
{
    const auto found = m_prompts.find(id);
    if (found == m_prompts.end()) {
        return;
    }
    wire::PromptDone message;
    message.__set_promptId(id);
    message.__set_isRead(isRead);
    wire::Body body;
    body.__set_promptDone(message);
    m_links.sendTo(found->second, body);
    m_prompts.erase(found);
}

}
