#include "servers/transferplanner.h"

#include "core/hash.h"

namespace citronspar
{

namespace
{

// Shorter shared prefixes are read sooner than a transfer starts.
constexpr std::int64_t minTransferTokens = 1000;

// Fetching pays while the wait for the link is not much longer than reading the prefix.
constexpr Duration maxFetchBacklog = std::chrono::milliseconds(400);

// Saves make way for fetches.
constexpr Duration maxSaveBacklog = std::chrono::milliseconds(120);

// Engines under load evict what was not used for some seconds.
constexpr Duration residentMemory = std::chrono::seconds(6);

constexpr std::uint64_t saltSeed = 0x9e37;

}

TransferPlanner::TransferPlanner()
    : m_stored(StoredPrefixes::Settings())
    , m_residents(residentMemory)
{
}

std::uint64_t TransferPlanner::residentKey(const std::string &salt, std::uint64_t prefixHash)
{
    return hashCombine(prefixHash, hashBytes(salt, saltSeed));
}

void TransferPlanner::setLink(double bytesPerSecond, int daemons)
{
    m_link.setLink(bytesPerSecond, daemons);
}

StoredPrefixes &TransferPlanner::stored()
{
    return m_stored;
}

void TransferPlanner::noteRead(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now)
{
    m_residents.noteRead(engine, residentKey(salt, prefixHash), now);
}

TransferPlan TransferPlanner::plan(const TransferQuestion &question, TimePoint now)
{
    TransferPlan plan;
    if (question.sharedTokens < minTransferTokens || !m_stored.isReachable()) {
        return plan;
    }
    const std::uint64_t key = residentKey(question.salt, question.prefixHash);
    const double sharedBytes = static_cast<double>(question.sharedTokens) * question.bytesPerToken;
    if (!m_residents.isResident(question.engine, key, now)) {
        if (!question.home.empty() && m_residents.isResident(question.home, key, now)) {
            plan.fetchFrom = TransferPlan::Source::Home;
        } else if (m_link.backlog(now) < maxFetchBacklog) {
            plan.fetchFrom = TransferPlan::Source::Store;
            // A fetch of what the store lacks moves nothing.
            m_link.add(m_stored.holdsAll(question.salt, question.sharedParts, now) ? sharedBytes : 0, now);
        }
    }
    if (m_stored.shouldSave(question.salt, question.sharedParts, now) && m_link.backlog(now) < maxSaveBacklog) {
        plan.savesToStore = true;
        m_link.add(sharedBytes + static_cast<double>(question.ownTokens) * question.bytesPerToken, now);
        m_stored.noteSaving(question.salt, question.sharedParts, now);
    }
    return plan;
}

}
