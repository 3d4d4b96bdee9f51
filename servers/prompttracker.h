#pragma once

#include "core/time.h"
#include "servers/load/prefillrate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * Tracks the prompts that entry daemons have sent to one engine and that await
 * prefill, and the prefixes that it has recently prefilled. The engine's own
 * report is some hundred milliseconds old; within that time many entry daemons
 * choose the same idle engine, mostly the first ones with new weights.
 */
class PromptTracker
{
public:
    /** Identifies the sender of a prompt; its prompts are dropped when it disconnects. */
    using OwnerId = std::int64_t;
    /** Hashes of a prompt's shared prefixes, in order of increasing length. */
    using Prefixes = std::vector<std::int64_t>;

private:
    struct Prompt
    {
        std::int64_t tokens = 0;
        Prefixes prefixes;
        TimePoint sentAt{};
        std::int64_t sequence = 0;
    };

    /** A pending prompt in the order of sending. */
    struct Queued
    {
        std::int64_t tokens = 0;
        int priority = -1;
    };

    std::map<std::pair<OwnerId, std::int64_t>, Prompt> m_prompts;
    std::map<std::int64_t, TimePoint> m_prefilledAt;
    std::map<std::int64_t, Queued> m_queue;
    std::int64_t m_lastSequence = 0;
    std::int64_t m_pendingTokens = 0;
    TimePoint m_nextSweep{};
    PrefillRate m_prefillRate{PrefillRate::Settings()};

    using PromptIterator = std::map<std::pair<OwnerId, std::int64_t>, Prompt>::iterator;

    PromptIterator erasePrompt(PromptIterator prompt);
    void sweep(TimePoint now);

public:
    /**
     * @param tokens the number of tokens that the engine has to prefill
     * @param priority 0 is the most urgent; negative if unknown
     */
    void recordSent(OwnerId owner, std::int64_t prompt, std::int64_t tokens, const Prefixes &prefixes, TimePoint now, int priority = -1);

    /** Records that a prompt's prefill has ended; @p isPrefilled is false if it was not completed. */
    void recordDone(OwnerId owner, std::int64_t prompt, bool isPrefilled, TimePoint now);

    /** Drops the prompts of an owner that has disconnected, as its requests end with it. */
    void dropOwner(OwnerId owner);

    /** Drops all state, after a restart of the engine. */
    void clear();

    /** Returns the number of tokens that await prefill. */
    std::int64_t pendingTokens(TimePoint now);

    /**
     * Returns the number of tokens that are prefilled before a prompt of @p priority: those of prompts that are as urgent or
     * more, or of unknown priority, and those of prompts that the engine prefills already, as it does so in order.
     * @param priority 0 is the most urgent; negative if unknown, which counts all tokens
     * @param prefilling number of requests that the engine reports as running without output; the prompts sent first are
     * taken for them
     */
    std::int64_t tokensBefore(int priority, std::int64_t prefilling, TimePoint now);

    /** Discards the prefill rate, after the engine has loaded new weights. */
    void discardPrefillRate();

    /** Prompt tokens that the engine prefills per millisecond while prompts wait; 0 if unknown. */
    double prefillTokensPerMs(TimePoint now) const;

    /** Returns how many of these prefixes, starting with the shortest, the engine has recently prefilled. */
    std::size_t knownPrefixes(const Prefixes &prefixes, TimePoint now) const;
};

}
