#pragma once

#include "core/time.h"
#include "servers/load/pauseprediction.h"
#include "servers/prefixdirectory.h"
#include "servers/weights/weightscutoff.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** The state of an engine as last reported to an entry daemon. */
struct EngineView
{
    std::int64_t weightsVersion = 0;
    bool isLoading = false;
    bool isAnswering = true;
    std::int64_t running = 0;
    /** Running requests that have produced output. */
    std::int64_t generating = 0;
    /** Requests without a first token: queued or in prefill. */
    std::int64_t waiting = 0;
    /** Prompt tokens that the engine prefills per millisecond; 0 if unknown. */
    double prefillTokensPerMs = 0;
    /** Time of the report; timeNever if there was none. */
    TimePoint reportedAt = timeNever;
};

/** The properties of a prompt that placement depends on. */
struct PlacedPrompt
{
    /** Hash of all parts that other requests share; 0 if there are none. */
    std::uint64_t sharedHash = 0;
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    /** Hash of the first part (the template), which many different prefixes begin with. */
    std::uint64_t templateHash = 0;
    std::int64_t templateTokens = 0;
};

/**
 * Chooses the engine with the lowest predicted time to first token: the
 * prefill backlog of the engine plus the prefill of the part of the prompt
 * that is not cached there. Rendezvous hashing over the available engines with
 * the same weights assigns each shared prefix a home engine, which all entry
 * daemons compute without coordination, so a prefix is prefilled once and then
 * found in that cache. During a weights rollout, the engines with old and those
 * with new weights have separate homes.
 */
class EndpointPlacement
{
public:
    struct Settings
    {
        /** Prefill throughput of an engine whose own is unknown, in prompt tokens per millisecond. */
        double prefillTokensPerMs = 40;
        /** Limits of the own throughput of an engine; others are implausible. */
        double minPrefillTokensPerMs = 4;
        double maxPrefillTokensPerMs = 400;
        /** Milliseconds that each running request adds to the time to first token of others. */
        double runningCostMs = 1;
        /** Milliseconds that each request of another entry daemon adds until it has its first token. */
        double waitingCostMs = 60;
        /** Discount for the home engine, as a fraction of the time to prefill the part that it lacks. */
        double homePreference = 0.8;
        /** Penalty in milliseconds for weights older than the wanted version. */
        double oldWeightsCostMs = 100;
        /** Penalty in milliseconds for each recent failure. */
        double failureCostMs = 150;
        /** How long a failure is counted. */
        Duration failureLifetime = std::chrono::seconds(3);
        /** How long the answer to a probe takes precedence over reports. */
        Duration probeLifetime = std::chrono::milliseconds(250);
        /** How long a report of an endpoint daemon is used. */
        Duration viewLifetime = std::chrono::milliseconds(1500);
        /** The cost of pauses of streams. */
        PausePrediction::Settings pauses;
    };

    struct Candidate
    {
        std::string id;
        std::int64_t listedVersion = 0;
    };

    /** The answer of an engine's endpoint daemon to a probe. */
    struct EngineLoad
    {
        /** Prompt tokens sent to the engine by all entry daemons that are prefilled before a prompt of the probe's priority. */
        std::int64_t pendingTokens = 0;
        /** How many of the prompt's two prefixes (the first part, all shared parts) were recently prefilled there. */
        int knownPrefixes = 0;
        /** What the endpoint daemon knows about the prompt's shared prefix, if the engine is the prefix's directory engine. */
        PrefixRecord record;
        /** Prompt tokens that the engine prefills per millisecond; 0 if unknown. */
        double prefillTokensPerMs = 0;
    };
    using LoadById = std::map<std::string, EngineLoad>;

    /** The inputs of a placement decision. Refers to objects of the caller. */
    struct Query
    {
        const PlacedPrompt &prompt;
        const std::vector<Candidate> &candidates;
        /** The weights versions set by the operators. */
        const WeightsHistory &weights;
        /** The time from the setting of a version to the deadline for older ones. */
        Duration weightsLimit{};
        /** Ids of engines that this request was already sent to. */
        const std::vector<std::string> &excluded;
        /** Probe answers received for this request. */
        const LoadById &loads;
        /** The route's objective for the longest pause between events. Zero: none, and no engine's own throughput is used. */
        Duration gapTarget = Duration::zero();
        /** Tokens that one event of a stream carries. Zero: unknown, and no pauses are predicted. */
        int tokensPerEvent = 0;
        /**
         * The objective for the first token. An engine that would exceed it is chosen only if no other is left, so that the cost
         * of pauses does not get a request refused. Only used if pauses are predicted; zero if there is none.
         */
        Duration targetLatency = Duration::zero();
        /** Priority of the prompt, 0 is the most urgent; negative if unknown, which counts all pending tokens. */
        int priority = -1;
    };

    /** An engine considered for a prompt, with its weights version. */
    struct Choice
    {
        std::string id;
        std::int64_t weightsVersion = 0;
        /** Whether it is the home of the shared prefix among the engines with the same weights. */
        bool isHome = false;
        /** The engine whose endpoint daemon records where the shared prefix is cached; empty if there is no prefix. */
        std::string directoryEngine;
        /** What that daemon knows about the shared prefix, and whether it has answered. */
        PrefixRecord record;
        bool isRecordKnown = false;
        /** Another engine with the same weights that most likely has the shared prefix cached; empty if there is none. */
        std::string likelySource;
        /** The same for the first part of the prompt only. */
        std::string templateSource;
        /** How many of the prompt's prefixes this engine and the likely source have cached; negative if they were not probed. */
        int knownPrefixes = -1;
        int sourcePrefixes = -1;
        /** The predicted time to first token, including penalties. */
        double costMs = 0;
        /** The cost of the pauses that the prompt would cause and meet there; not part of costMs. */
        double pauseCostMs = 0;
        /** costMs and pauseCostMs less the discount for the home engine; determines the ranking. */
        double rankCostMs = 0;
        /** Whether the first token would exceed the objective; such engines rank after all others. */
        bool isBeyondTarget = false;
    };

private:
    using TokensByPriority = std::map<int, std::int64_t>;

    /** Pending tokens as of the last probe answer plus those of this daemon's requests since, and the time of that answer. */
    struct Probed
    {
        std::int64_t tokens = 0;
        TimePoint answeredAt = timeNever;
    };

    struct Engine
    {
        EngineView view;
        int inFlight = 0;
        /** Prompt tokens of this daemon's requests that have no first token yet, by priority. */
        TokensByPriority pendingTokens;
        int pendingRequests = 0;
        /** By the priority of the probe. */
        std::map<int, Probed> probed;
        /** Time of the last probe answer, whatever its priority. */
        TimePoint probedAt = timeNever;
        /** The throughput in that answer; 0 if unknown. */
        double probedTokensPerMs = 0;
        int failures = 0;
        TimePoint lastFailure = timeNever;
        TimePoint avoidUntil = timeNever;
    };

    Settings m_settings;
    PausePrediction m_pausePrediction;
    std::map<std::string, Engine> m_engines;

    /** An engine with its rendezvous weight for a prefix. */
    struct Ranked
    {
        const Candidate *candidate = nullptr;
        std::uint64_t weight = 0;
    };
    /** The two highest ranked available engines with the same weights. */
    struct TopRanked
    {
        Ranked first;
        Ranked second;
    };
    using TopRankedByVersion = std::map<std::int64_t, TopRanked>;

    bool isCurrent(const EngineView &view, TimePoint now) const;
    /** Replaces the likely source by a probed engine that has more of the prompt cached than both the choice and that source. */
    void preferKnownSource(Choice &choice, const Query &query, TimePoint now) const;
    /**
     * Sets the directory engine of the prefix and what its endpoint daemon has answered. Unlike the home, it does not change
     * while engines load weights, since its endpoint daemon goes on.
     */
    static void setDirectory(Choice &choice, const Query &query);
    /** Returns the highest ranked engine with the choice's weights other than the choice itself; empty if there is none. */
    static std::string highestRankedExcept(const Choice &choice, const TopRankedByVersion &topRanked);
    /** Whether the current report says that the engine is loading weights or does not answer. */
    bool isUnavailable(const Engine &engine, TimePoint now) const;
    /** Returns the two highest ranked engines for a prefix by rendezvous hashing, for each weights version. */
    TopRankedByVersion rankByHash(std::uint64_t prefixHash, const std::vector<Candidate> &candidates, TimePoint now) const;
    bool isProbeCurrent(const Engine &engine, TimePoint now) const;
    /** The throughput to assume for an engine, in prompt tokens per millisecond. */
    double prefillRate(const Engine &engine, const Query &query, TimePoint now) const;
    /** Whether a prompt of the first priority is prefilled before one of the second; negative priorities are unknown. */
    static bool isBefore(int first, int second);
    /** This daemon's pending tokens that are prefilled before a prompt of @p priority. */
    static std::int64_t pendingTokensBefore(const Engine &engine, int priority);
    /** The current probe answer for a prompt of @p priority, else the newest current one; nullptr if there is none. */
    const Probed *findProbed(const Engine &engine, int priority, TimePoint now) const;
    /** The prompt tokens before one of @p priority; requests of other entry daemons are estimated unless it was probed. */
    double waitingTokens(const Engine &engine, int priority, TimePoint now) const;
    /** The cost of pauses that the placement of a prompt with @p tokens to prefill would have, in milliseconds. */
    double pauseCost(const Engine &engine, double rate, std::int64_t tokens, const Query &query, TimePoint now) const;
    /** The predicted time to first token at the throughput @p rate, including penalties, in milliseconds. */
    double cost(const Engine &engine, double rate, std::int64_t missingTokens, bool hasOldWeights, int priority, TimePoint now) const;

public:
    explicit EndpointPlacement(Settings settings);

    /** Sets the state reported by an engine's endpoint daemon. */
    void setView(const std::string &id, const EngineView &view);

    /** Whether a current report says that the engine answers and is not loading weights. */
    bool isUsable(const std::string &id, TimePoint now) const;

    /** The weights version of an engine: the higher of the listed version and that of a current report. */
    std::int64_t versionOf(const Candidate &candidate, TimePoint now) const;

    /**
     * The number of shared tokens that an engine has to prefill or fetch.
     * @param load the engine's probe answer; nullptr if it was not probed
     */
    static std::int64_t missingTokens(const PlacedPrompt &prompt, const EngineLoad *load, bool isHome);

    /** Returns at most @p count engines in ascending order of rankCostMs. Only the first has its sources set. */
    std::vector<Choice> rank(const Query &query, std::size_t count, TimePoint now) const;

    /** Returns nullopt if no engine can take the prompt. */
    std::optional<Choice> choose(const Query &query, TimePoint now) const;

    /** Records the answer of an engine's endpoint daemon to a probe for a prompt of @p priority; negative if unknown. */
    void recordProbeAnswer(const std::string &id, const EngineLoad &load, TimePoint now, int priority = -1);

    /** Records a request of @p priority sent to an engine, with @p tokens to prefill. */
    void recordSent(const std::string &id, std::int64_t tokens, int priority = -1);
    /** Records the first token of a request, which ends the prefill of its @p tokens. */
    void recordFirstToken(const std::string &id, std::int64_t tokens, int priority = -1);
    void recordEnd(const std::string &id);

    void recordFailure(const std::string &id, TimePoint now);
    void recordSuccess(const std::string &id);

    /** Excludes an engine that rejected a request from placement for @p time. */
    void avoid(const std::string &id, TimePoint now, Duration time);

    int inFlight(const std::string &id) const;

    /** Deletes the state of an engine that has left. */
    void remove(const std::string &id);
};

}
