#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * The prompts that entry daemons have sent to one engine and that it has yet to
 * read, and the prefixes that it has read lately. The engine's own report is
 * some hundred milliseconds old; within that time many entry daemons choose the
 * same idle engine, mostly the first ones with new weights.
 */
class PromptLedger
{
public:
    /** Whoever sent a prompt; what it sent is dropped with it. */
    using OwnerId = std::int64_t;
    /** Hashes of the ever longer beginnings of a prompt that others share. */
    using Prefixes = std::vector<std::int64_t>;

private:
    struct Prompt
    {
        std::int64_t tokens = 0;
        Prefixes prefixes;
        TimePoint sentAt{};
    };

    std::map<std::pair<OwnerId, std::int64_t>, Prompt> m_prompts;
    std::map<std::int64_t, TimePoint> m_readAt;
    std::int64_t m_pendingTokens = 0;
    TimePoint m_nextSweep{};

    using PromptIterator = std::map<std::pair<OwnerId, std::int64_t>, Prompt>::iterator;

    PromptIterator drop(PromptIterator prompt);
    void sweep(TimePoint now);

public:
    /** @param tokens that the engine will have to read */
    void noteSent(OwnerId owner, std::int64_t prompt, std::int64_t tokens, const Prefixes &prefixes, TimePoint now);

    /** The prompt is read, or will not be. */
    void noteDone(OwnerId owner, std::int64_t prompt, bool isRead, TimePoint now);

    /** The owner is gone, and its requests with it. */
    void dropOwner(OwnerId owner);

    /** The engine was restarted. */
    void clear();

    /** Tokens that the engine has yet to read. */
    std::int64_t pendingTokens(TimePoint now);

    /** How many of these prefixes, from the shortest on, the engine has read lately. */
    std::size_t knownPrefixes(const Prefixes &prefixes, TimePoint now) const;
};

}
