#include "servers/prompttracker.h"

#include "servers/residentprefixes.h"

#include <iterator>

namespace citronspar
{

namespace
{

// The message that ends a prompt's prefill may be lost with its connection; its entry expires after this time.
constexpr Duration maxPrefillTime = std::chrono::seconds(4);

constexpr Duration sweepPeriod = std::chrono::milliseconds(200);

}

PromptTracker::PromptIterator PromptTracker::erasePrompt(PromptIterator prompt)
{
    m_pendingTokens -= prompt->second.tokens;
    m_queue.erase(prompt->second.sequence);
    return m_prompts.erase(prompt);
}

void PromptTracker::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepPeriod;
    for (auto it = m_prompts.begin(); it != m_prompts.end();) {
        if (now - it->second.sentAt <= maxPrefillTime) {
            ++it;
            continue;
        }
        it = erasePrompt(it);
        m_prefillRate.recordDropped();
    }
    for (auto it = m_prefilledAt.begin(); it != m_prefilledAt.end();) {
        it = now - it->second > engineCacheLifetime ? m_prefilledAt.erase(it) : std::next(it);
    }
}

void PromptTracker::recordSent(OwnerId owner, std::int64_t prompt, std::int64_t tokens, const Prefixes &prefixes, TimePoint now,
                               int priority)
{
    if (tokens < 0 || !m_prompts.emplace(std::pair(owner, prompt), Prompt{tokens, prefixes, now, m_lastSequence + 1}).second) {
        return;
    }
    m_queue[++m_lastSequence] = Queued{tokens, priority};
    m_pendingTokens += tokens;
    m_prefillRate.recordSent(now);
}

void PromptTracker::recordDone(OwnerId owner, std::int64_t prompt, bool isPrefilled, TimePoint now)
{
    const auto found = m_prompts.find({owner, prompt});
    if (found == m_prompts.end()) {
        return;
    }
    if (isPrefilled) {
        for (const std::int64_t prefix : found->second.prefixes) {
            m_prefilledAt[prefix] = now;
        }
    }
    if (isPrefilled) {
        m_prefillRate.recordPrefilled(found->second.tokens, now);
    } else {
        m_prefillRate.recordDropped();
    }
    erasePrompt(found);
}

void PromptTracker::dropOwner(OwnerId owner)
{
    for (auto it = m_prompts.begin(); it != m_prompts.end();) {
        if (it->first.first != owner) {
            ++it;
            continue;
        }
        it = erasePrompt(it);
        m_prefillRate.recordDropped();
    }
}

void PromptTracker::clear()
{
    m_prompts.clear();
    m_prefilledAt.clear();
    m_queue.clear();
    m_pendingTokens = 0;
    m_prefillRate.clear();
}

std::int64_t PromptTracker::tokensBefore(int priority, std::int64_t prefilling, TimePoint now)
{
    sweep(now);
    if (priority < 0) {
        return m_pendingTokens;
    }
    std::int64_t result = 0;
    std::int64_t position = 0;
    for (const std::pair<const std::int64_t, Queued> &entry : m_queue) {
        const Queued &queued = entry.second;
        if (position++ < prefilling || queued.priority <= priority) {
            result += queued.tokens;
        }
    }
    return result;
}

void PromptTracker::discardPrefillRate()
{
    m_prefillRate.discard();
}

double PromptTracker::prefillTokensPerMs(TimePoint now) const
{
    return m_prefillRate.tokensPerMs(now);
}

std::int64_t PromptTracker::pendingTokens(TimePoint now)
{
    sweep(now);
    return m_pendingTokens;
}

std::size_t PromptTracker::knownPrefixes(const Prefixes &prefixes, TimePoint now) const
{
    std::size_t known = 0;
    for (const std::int64_t prefix : prefixes) {
        const auto found = m_prefilledAt.find(prefix);
        if (found == m_prefilledAt.end() || now - found->second > engineCacheLifetime) {
            break;
        }
        ++known;
    }
    return known;
}

}
