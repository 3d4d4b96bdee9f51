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

/** Asks the daemons beside engines what waits there, and tells them what is sent. */
class EngineProbes
{
public:
    using QuestionId = std::int64_t;
    using PromptId = std::int64_t;
    using Prefixes = std::vector<std::int64_t>;
    /** An engine, and the address of the daemon beside it. */
    struct Target
    {
        std::string engine;
        std::string address;
        /** Hashes of the ever longer beginnings of the prompt that others share. */
        Prefixes prefixes;
    };
    /** What the daemons answered, by engine. */
    using Handler = std::function<void(const EndpointPlacement::LoadById &loads)>;

private:
    struct Question
    {
        Handler handler;
        EndpointPlacement::LoadById loads;
        std::size_t missing = 0;
        TimerService::TimerId timer = 0;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    std::map<QuestionId, Question> m_questions;
    /** The question and the engine of each probe that has no answer yet. */
    std::map<std::int64_t, std::pair<QuestionId, std::string>> m_probes;
    std::map<PromptId, std::string> m_prompts;
    QuestionId m_lastQuestion = 0;
    std::int64_t m_lastProbe = 0;
    PromptId m_lastPrompt = 0;

    void take(const wire::ProbeAnswer &answer);
    void finish(QuestionId id);

public:
    EngineProbes(DaemonCore &core, PeerLinks &links);

    /** Asks all of @p targets; what has not answered in time is left out. The answer comes from the loop. */
    QuestionId ask(const std::vector<Target> &targets, Handler handler);
    /** Ends a question without an answer. */
    void cancel(QuestionId id);

    /** @param tokens that the engine has to read */
    PromptId noteSent(const std::string &address, std::int64_t tokens, const Prefixes &prefixes);
    /** The prompt is read, or will not be. */
    void noteDone(PromptId id, bool isRead);
};

}
