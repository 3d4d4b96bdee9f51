#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** What an entry daemon knows of one engine. */
struct EngineView
{
    std::int64_t weightsVersion = 0;
    bool isLoading = false;
    bool isAnswering = true;
    std::int64_t running = 0;
    /** Requests without a first token: those that wait and those being read. */
    std::int64_t waiting = 0;
    /** When this was told; timeNever when nothing was. */
    TimePoint toldAt = timeNever;
};

/** A prompt, as placement sees it. */
struct PlacedPrompt
{
    /** Hash of all parts that other requests share; 0 when none are. */
    std::uint64_t sharedHash = 0;
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    /** Hash of the first part, which prompts of many prefixes share. */
    std::uint64_t templateHash = 0;
    std::int64_t templateTokens = 0;
};

/**
 * Chooses the engine with the least predicted time to the first token: the
 * prefill that waits there, plus what this prompt would have to read there.
 * Each shared prefix has a home by rendezvous hashing among the usable engines
 * with the same weights, which all entry daemons know without telling each
 * other, so a prefix is read once and found again. While new weights spread over
 * the engines, each of the two groups has homes of its own.
 */
class EndpointPlacement
{
public:
    struct Settings
    {
        /** Prompt tokens that an engine reads in a millisecond. */
        double prefillTokensPerMs = 40;
        /** Milliseconds that one running request adds to the others' first token. */
        double runningCostMs = 1;
        /** Milliseconds that one request of another daemon without a first token adds. */
        double waitingCostMs = 60;
        /** Part of the time to read a prefix that its home is preferred by even if it has yet to read it. */
        double homePreference = 0.8;
        /** Milliseconds that weights older than the named ones are worth avoiding. */
        double oldWeightsCostMs = 100;
        /** Milliseconds for each recent failure. */
        double failureCostMs = 150;
        /** A failure counts for this long. */
        Duration failureMemory = std::chrono::seconds(3);
        /** An answer to a probe says more than what was told for this long. */
        Duration probeLifetime = std::chrono::milliseconds(250);
        /** What an endpoint daemon told is used for this long. */
        Duration viewLifetime = std::chrono::milliseconds(1500);
    };

    struct Candidate
    {
        std::string id;
        std::int64_t listedVersion = 0;
    };

    /** What the daemon beside an engine answered a moment ago. */
    struct EngineLoad
    {
        /** Prompt tokens sent there by all entry daemons and not read yet. */
        std::int64_t pendingTokens = 0;
        /** How many of the prompt's prefixes, the first part and all shared parts, were read there lately. */
        int knownPrefixes = 0;
    };
    using LoadById = std::map<std::string, EngineLoad>;

    /** What a choice depends on. */
    struct Question
    {
        const PlacedPrompt &prompt;
        const std::vector<Candidate> &candidates;
        /** The weights that the operators named; 0 when none. */
        std::int64_t wantedVersion = 0;
        /** Whether engines with older weights may not be used any more. */
        bool refusesOld = false;
        /** Ids that this request was already sent to. */
        const std::vector<std::string> &excluded;
        /** Engines asked for this request. */
        const LoadById &loads;
    };

    /** The engine chosen, and the weights version that it has. */
    struct Choice
    {
        std::string id;
        std::int64_t weightsVersion = 0;
        /** Whether it is the home of the shared prefix among the engines with its weights. */
        bool isHome = false;
        /** The other engine with the same weights that most likely keeps the shared prefix; empty when there is none. */
        std::string likelyKeeper;
        /** The same for the first part of the prompt alone. */
        std::string templateKeeper;
        /** How many of the prompt's prefixes it and the likely keeper are known to have; negative when they were not asked. */
        int knownPrefixes = -1;
        int keeperPrefixes = -1;
        /** The predicted time to the first token, with what is to be avoided counted as time. */
        double costMs = 0;
        /** The same with the home preferred. */
        double rankCostMs = 0;
    };

private:
    struct Engine
    {
        EngineView view;
        int inFlight = 0;
        /** Prompt tokens of own requests that have no first token yet. */
        std::int64_t pendingTokens = 0;
        int pendingRequests = 0;
        /** Tokens pending there by the last probe, and when it was answered. */
        std::int64_t probedTokens = 0;
        TimePoint probedAt = timeNever;
        int failures = 0;
        TimePoint lastFailure = timeNever;
        TimePoint avoidUntil = timeNever;
    };

    Settings m_settings;
    std::map<std::string, Engine> m_engines;

    /** An engine that ranks high for a prefix. */
    struct Ranked
    {
        const Candidate *candidate = nullptr;
        std::uint64_t weight = 0;
    };
    /** The two highest ranked usable engines with the same weights. */
    struct Keepers
    {
        Ranked first;
        Ranked second;
    };
    using KeepersByVersion = std::map<std::int64_t, Keepers>;

    bool isCurrent(const EngineView &view, TimePoint now) const;
    /** Makes an asked engine the keeper if it has more of the prompt than the choice. */
    void preferKnownKeeper(Choice &choice, const Question &question, TimePoint now) const;
    /** The highest ranked engine with the choice's weights other than the choice itself; empty when there is none. */
    static std::string keeperBeside(const Choice &choice, const KeepersByVersion &keepers);
    /** Whether the engine loads weights or does not answer, as far as is known. */
    bool isOut(const Engine &engine, TimePoint now) const;
    /** The engines that rendezvous hashing names for a prefix. */
    KeepersByVersion rankKeepers(std::uint64_t prefixHash, const std::vector<Candidate> &candidates, TimePoint now) const;
    /** The prefill that waits at an engine, in milliseconds. */
    double queueCost(const Engine &engine, TimePoint now) const;
    /** The predicted time to the first token, with what is to be avoided counted as time; in milliseconds. */
    double cost(const Engine &engine, std::int64_t missingTokens, bool hasOldWeights, TimePoint now) const;

public:
    explicit EndpointPlacement(Settings settings);

    /** Takes in what the daemon beside an engine tells. */
    void setView(const std::string &id, const EngineView &view);

    /** Whether the engine is known to answer now. */
    bool isUsable(const std::string &id, TimePoint now) const;

    /** The weights version of an engine by the newest word. */
    std::int64_t versionOf(const Candidate &candidate, TimePoint now) const;

    /**
     * The part of the shared tokens that an engine has to read or fetch.
     * @param load what was answered there; null when it was not asked
     */
    static std::int64_t missingTokens(const PlacedPrompt &prompt, const EngineLoad *load, bool isHome);

    /** The engines with the least predicted costs, the best first; at most @p count. */
    std::vector<Choice> rank(const Question &question, std::size_t count, TimePoint now) const;

    /** Nothing when no engine can take the prompt. */
    std::optional<Choice> choose(const Question &question, TimePoint now) const;

    /** The daemon beside an engine answered a probe. */
    void noteProbed(const std::string &id, const EngineLoad &load, TimePoint now);

    void noteSent(const std::string &id, std::int64_t tokens);
    void noteFirstToken(const std::string &id, std::int64_t tokens);
    void noteEnd(const std::string &id);

    /** The engine failed a request. */
    void noteFailure(const std::string &id, TimePoint now);
    void noteSuccess(const std::string &id);

    /** The engine turned a request away; it is left alone for @p time. */
    void avoid(const std::string &id, TimePoint now, Duration time);

    int inFlight(const std::string &id) const;

    /** Drops what is known of an engine that has left. */
    void forget(const std::string &id);
};

}
