#pragma once

#include "core/time.h"
#include "servers/admission.h"
#include "servers/endpointplacement.h"
#include "servers/prompttracker.h"
#include "tests/servers/load/enginemodel.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * Model in virtual time of entry daemons that place prompts on engines as
 * EndpointSearch and ProxyCall do: with probes of the best candidates, periodic
 * reports, and admission by the predicted time to first event.
 */
class FleetModel
{
public:
    /** One kind of request, with Poisson arrivals. */
    struct Kind
    {
        std::string name;
        double perSecond = 0;
        std::int64_t sharedTokens = 0;
        /** Number of different shared prefixes. */
        std::uint64_t prefixes = 1;
        std::int64_t ownTokens = 0;
        std::int64_t outputTokens = 0;
        int priority = 0;
        /** Objective for the first event. */
        Duration targetLatency = std::chrono::milliseconds(600);
        Duration gapTarget = std::chrono::milliseconds(300);
        /** Part of the run in which the kind arrives. */
        Duration begin = Duration::zero();
        Duration end = maxDuration;
    };
    struct Result
    {
        int sent = 0;
        int refused = 0;
        int ended = 0;
        /** First event after the objective. */
        int late = 0;
        /** A pause between events beyond the objective. */
        int paused = 0;
        /** Neither refused, late nor paused. */
        int inTime = 0;
        double inTimeShare() const
        {
            return ended + refused == 0 ? 0 : static_cast<double>(inTime) / (ended + refused);
        }
        double pausedShare() const
        {
            return ended == 0 ? 0 : static_cast<double>(paused) / ended;
        }
        double lateShare() const
        {
            return ended == 0 ? 0 : static_cast<double>(late) / ended;
        }
    };
    using Results = std::map<std::string, Result>;

    struct Settings
    {
        std::vector<double> tokensPerMs;
        EngineModel::Settings engine;
        EndpointPlacement::Settings placement;
        int entryDaemons = 8;
        /** Whether queries carry the objective for pauses, which enables everything that depends on it. */
        bool usesGapTarget = true;
        /** Whether all engines get equal shares instead, in turn. */
        bool isRoundRobin = false;
        /** Whether pauses are predicted. */
        bool predictsPauses = true;
        /** Whether pending tokens are counted by priority. */
        bool usesPriority = false;
    };

private:
    struct Engine
    {
        std::string id;
        EngineModel model;
        PromptTracker tracker;
        std::deque<EngineModel::Request> reports;
        /** As last reported by the engine. */
        std::int64_t prefilling = 0;
    };
    struct Sent
    {
        const Kind *kind = nullptr;
        std::size_t daemon = 0;
        TimePoint arrivedAt{};
        std::int64_t tokens = 0;
        std::int64_t ownTokens = 0;
    };

    // Delay until the entry and the endpoint daemon learn of a first event, and period of published reports.
    static constexpr Duration messageDelay = std::chrono::milliseconds(4);
    static constexpr Duration reportPeriod = std::chrono::milliseconds(300);

    Settings m_settings;
    std::vector<Engine> m_engines;
    std::vector<EndpointPlacement> m_placements;
    std::vector<EndpointPlacement::Candidate> m_candidates;
    WeightsHistory m_weights;
    std::map<std::int64_t, Sent> m_sent;
    std::int64_t m_lastId = 0;
    std::size_t m_lastEngine = 0;
    TimePoint m_reportAt{};
    Results m_results;

    void recordEnd(const EngineModel::Request &request, const Engine &engine)
    {
        const Sent sent = m_sent.at(request.id);
        m_sent.erase(request.id);
        m_placements[sent.daemon].recordEnd(engine.id);
        Result &result = m_results[sent.kind->name];
        ++result.ended;
        const bool isLate = request.firstEventAt - sent.arrivedAt > sent.kind->targetLatency;
        const bool isPaused = request.longestGap > sent.kind->gapTarget;
        result.late += isLate ? 1 : 0;
        result.paused += isPaused ? 1 : 0;
        result.inTime += isLate || isPaused ? 0 : 1;
    }

    void advance(Engine &engine, TimePoint now)
    {
        engine.model.advance(now);
        for (const EngineModel::Request &request : engine.model.takeStarted()) {
            engine.reports.push_back(request);
        }
        while (!engine.reports.empty() && engine.reports.front().firstEventAt + messageDelay <= now) {
            const EngineModel::Request request = engine.reports.front();
            engine.reports.pop_front();
            const auto sent = m_sent.find(request.id);
            if (sent != m_sent.end()) {
                m_placements[sent->second.daemon].recordFirstToken(engine.id, sent->second.ownTokens, priorityOf(*sent->second.kind));
                engine.tracker.recordDone(static_cast<PromptTracker::OwnerId>(sent->second.daemon), request.id, true,
                                          request.firstEventAt + messageDelay);
            }
        }
        for (const EngineModel::Request &request : engine.model.takeEnded()) {
            // A request may end before its first event was reported.
            engine.reports.erase(std::remove_if(engine.reports.begin(), engine.reports.end(),
                                                [&](const EngineModel::Request &report) {
                                                    return report.id == request.id;
                                                }),
                                 engine.reports.end());
            const Sent &sent = m_sent.at(request.id);
            engine.tracker.recordDone(static_cast<PromptTracker::OwnerId>(sent.daemon), request.id, true, now);
            recordEnd(request, engine);
        }
    }

    void report(TimePoint now)
    {
        for (Engine &engine : m_engines) {
            engine.prefilling = engine.model.prefilling();
            EngineView view;
            view.weightsVersion = 1;
            view.running = engine.model.generating() + engine.model.prefilling();
            view.generating = engine.model.generating();
            view.waiting = engine.model.queued() + engine.model.prefilling();
            view.prefillTokensPerMs = engine.tracker.prefillTokensPerMs(now);
            view.reportedAt = now;
            for (EndpointPlacement &placement : m_placements) {
                placement.setView(engine.id, view);
            }
        }
    }

    static PromptTracker::Prefixes prefixesOf(const PlacedPrompt &prompt)
    {
        return {static_cast<std::int64_t>(prompt.templateHash), static_cast<std::int64_t>(prompt.sharedHash)};
    }

    int priorityOf(const Kind &kind) const
    {
        return m_settings.usesPriority ? kind.priority : -1;
    }

    Engine &engineOf(const std::string &id)
    {
        return *std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine &engine) {
            return engine.id == id;
        });
    }

    EndpointPlacement::EngineLoad probe(Engine &engine, const PlacedPrompt &prompt, int priority, TimePoint now)
    {
        EndpointPlacement::EngineLoad load;
        load.pendingTokens = engine.tracker.tokensBefore(priority, engine.prefilling, now);
        load.knownPrefixes = static_cast<int>(engine.tracker.knownPrefixes(prefixesOf(prompt), now));
        load.prefillTokensPerMs = engine.tracker.prefillTokensPerMs(now);
        return load;
    }

    std::optional<EndpointPlacement::Choice> search(EndpointPlacement &placement, const EndpointPlacement::Query &query,
                                                    EndpointPlacement::LoadById &loads, TimePoint now)
    {
        for (int round = 0; round < 3; ++round) {
            const std::vector<EndpointPlacement::Choice> ranked = placement.rank(query, 4, now);
            if (ranked.empty() || loads.count(ranked.front().id) > 0) {
                break;
            }
            for (const EndpointPlacement::Choice &choice : ranked) {
                if (loads.count(choice.id) == 0) {
                    loads[choice.id] = probe(engineOf(choice.id), query.prompt, query.priority, now);
                    placement.recordProbeAnswer(choice.id, loads[choice.id], now, query.priority);
                }
            }
        }
        return placement.choose(query, now);
    }

    void place(const Kind &kind, std::mt19937_64 &random, TimePoint now)
    {
        PlacedPrompt prompt;
        prompt.sharedTokens = kind.sharedTokens;
        prompt.ownTokens = kind.ownTokens;
        prompt.sharedHash = kind.sharedTokens == 0 ? 0 : std::hash<std::string>()(kind.name) + random() % kind.prefixes;
        prompt.templateHash = kind.sharedTokens == 0 ? 0 : std::hash<std::string>()(kind.name);
        const std::size_t daemon = random() % m_placements.size();
        EndpointPlacement &placement = m_placements[daemon];
        EndpointPlacement::LoadById loads;
        const std::vector<std::string> excluded;
        EndpointPlacement::Query query{prompt, m_candidates, m_weights, std::chrono::hours(1), excluded, loads};
        query.gapTarget = m_settings.usesGapTarget ? kind.gapTarget : Duration::zero();
        query.tokensPerEvent = m_settings.predictsPauses ? m_settings.engine.tokensPerEvent : 0;
        query.priority = priorityOf(kind);
        query.targetLatency = kind.targetLatency;
        std::optional<EndpointPlacement::Choice> choice = search(placement, query, loads, now);
        Result &result = m_results[kind.name];
        ++result.sent;
        if (m_settings.isRoundRobin) {
            m_lastEngine = (m_lastEngine + 1) % m_engines.size();
            choice->id = m_engines[m_lastEngine].id;
        } else if (!Admission::admits(fromSeconds(choice->costMs / 1000), Admission::Basis::Probed, Duration::zero(), kind.targetLatency)) {
            ++result.refused;
            return;
        }
        Engine &engine = engineOf(choice->id);
        const auto load = loads.find(choice->id);
        const std::int64_t missing
            = EndpointPlacement::missingTokens(prompt, load == loads.end() ? nullptr : &load->second, choice->isHome);
        const std::int64_t id = ++m_lastId;
        m_sent[id] = Sent{&kind, daemon, now, prompt.ownTokens + missing, prompt.ownTokens};
        placement.recordSent(engine.id, prompt.ownTokens, priorityOf(kind));
        engine.tracker.recordSent(static_cast<PromptTracker::OwnerId>(daemon), id, prompt.ownTokens + missing, prefixesOf(prompt), now,
                                  priorityOf(kind));
        EngineModel::Request request;
        request.id = id;
        request.promptTokens = prompt.ownTokens + missing;
        request.outputTokens = kind.outputTokens;
        request.priority = kind.priority;
        request.sentAt = now;
        engine.model.send(request);
    }

public:
    explicit FleetModel(const Settings &settings)
        : m_settings(settings)
    {
        for (const double rate : settings.tokensPerMs) {
            EngineModel::Settings engine = settings.engine;
            engine.tokensPerMs = rate;
            m_engines.push_back(Engine{"engine-" + std::to_string(m_engines.size()), EngineModel(engine), PromptTracker(), {}});
            m_candidates.push_back(EndpointPlacement::Candidate{m_engines.back().id, 1});
        }
        m_placements.assign(static_cast<std::size_t>(settings.entryDaemons), EndpointPlacement(settings.placement));
    }

    /** Sends the requests of @p kinds for @p time after a warm-up that does not count. */
    Results run(const std::vector<Kind> &kinds, Duration time, std::uint64_t seed)
    {
        constexpr Duration warmUp = std::chrono::seconds(5);
        std::mt19937_64 random(seed);
        const TimePoint begin{std::chrono::seconds(100)};
        std::vector<std::pair<TimePoint, const Kind *>> arrivals;
        for (const Kind &kind : kinds) {
            std::exponential_distribution<double> interval(kind.perSecond);
            for (TimePoint at = begin; at < begin + warmUp + time; at += fromSeconds(interval(random))) {
                const Duration since = at - begin - warmUp;
                if (since >= kind.begin && since < kind.end) {
                    arrivals.emplace_back(at, &kind);
                }
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        bool isWarm = false;
        for (const std::pair<TimePoint, const Kind *> &arrival : arrivals) {
            if (!isWarm && arrival.first >= begin + warmUp) {
                isWarm = true;
                m_results.clear();
            }
            for (Engine &engine : m_engines) {
                advance(engine, arrival.first);
            }
            if (arrival.first >= m_reportAt) {
                m_reportAt = arrival.first + reportPeriod;
                report(arrival.first);
            }
            place(*arrival.second, random, arrival.first);
        }
        for (Engine &engine : m_engines) {
            advance(engine, begin + warmUp + time + std::chrono::seconds(60));
        }
        return m_results;
    }
};

}
