#include "servers/promptledger.h"

#include "servers/engineresidents.h"

#include <iterator>

namespace citronspar
{

namespace
{

// The message that a prompt was read may be lost with its link.
constexpr Duration longestReading = std::chrono::seconds(4);

constexpr Duration sweepPeriod = std::chrono::milliseconds(200);

}

PromptLedger::PromptIterator PromptLedger::drop(PromptIterator prompt)
{
    m_pendingTokens -= prompt->second.tokens;
    return m_prompts.erase(prompt);
}

void PromptLedger::sweep(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepPeriod;
    for (auto it = m_prompts.begin(); it != m_prompts.end();) {
        it = now - it->second.sentAt > longestReading ? drop(it) : std::next(it);
    }
    for (auto it = m_readAt.begin(); it != m_readAt.end();) {
        it = now - it->second > engineCacheMemory ? m_readAt.erase(it) : std::next(it);
    }
}

void PromptLedger::noteSent(OwnerId owner, std::int64_t prompt, std::int64_t tokens, const Prefixes &prefixes, TimePoint now)
{
    if (tokens < 0 || !m_prompts.emplace(std::pair(owner, prompt), Prompt{tokens, prefixes, now}).second) {
        return;
    }
    m_pendingTokens += tokens;
}

void PromptLedger::noteDone(OwnerId owner, std::int64_t prompt, bool isRead, TimePoint now)
{
    const auto found = m_prompts.find({owner, prompt});
    if (found == m_prompts.end()) {
        return;
    }
    if (isRead) {
        for (const std::int64_t prefix : found->second.prefixes) {
            m_readAt[prefix] = now;
        }
    }
    drop(found);
}

void PromptLedger::dropOwner(OwnerId owner)
{
    for (auto it = m_prompts.begin(); it != m_prompts.end();) {
        it = it->first.first == owner ? drop(it) : std::next(it);
    }
}

void PromptLedger::clear()
{
    m_prompts.clear();
    m_readAt.clear();
    m_pendingTokens = 0;
}

std::int64_t PromptLedger::pendingTokens(TimePoint now)
{
    sweep(now);
    return m_pendingTokens;
}

std::size_t PromptLedger::knownPrefixes(const Prefixes &prefixes, TimePoint now) const
{
    std::size_t known = 0;
    for (const std::int64_t prefix : prefixes) {
        const auto found = m_readAt.find(prefix);
        if (found == m_readAt.end() || now - found->second > engineCacheMemory) {
            break;
        }
        ++known;
    }
    return known;
}

}
