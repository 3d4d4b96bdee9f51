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

// A first part that is saved once spares many engines reading it.
constexpr Duration maxTemplateSaveBacklog = maxFetchBacklog;

// The first part, and all shared parts.
constexpr int allPrefixes = 2;

constexpr std::uint64_t saltSeed = 0x9e37;

}

TransferPlanner::TransferPlanner()
    : m_stored(StoredPrefixes::Settings())
    , m_residents(engineCacheMemory)
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

bool TransferPlanner::isLinkFree(TimePoint now)
{
    return m_link.backlog(now) < maxFetchBacklog;
}

void TransferPlanner::planFetch(const TransferQuestion &question, const EngineResidents::EngineFilter &isUsable, TimePoint now,
                                TransferPlan &plan)
{
    const EngineResidents::EngineFilter isOther = [&](const std::string &engine) {
        return engine != question.engine && isUsable(engine);
    };
    const std::optional<std::string> reader = m_residents.lastReader(residentKey(question.salt, question.prefixHash), isOther, now);
    const std::uint64_t templateKey = residentKey(question.salt, question.templateHash);
    if (question.keeperPrefixes == allPrefixes) {
        plan.fetchFromEngine = question.keeper;
        return;
    }
    if (reader.has_value()) {
        // This daemon had it read there.
        plan.fetchFromEngine = *reader;
        return;
    }
    if (m_stored.isReachable() && m_stored.holdsAll(question.salt, question.sharedParts, now) && isLinkFree(now)) {
        plan.fetchesFromStore = true;
        m_link.add(static_cast<double>(question.sharedTokens) * question.bytesPerToken, now);
        return;
    }
    const bool hasTemplate = question.knownPrefixes > 0 || m_residents.isResident(question.engine, templateKey, now);
    const bool mayKeepAll = question.keeperPrefixes < 0 && (!question.isHome || hasTemplate);
    if (mayKeepAll || (question.keeperPrefixes > 0 && !hasTemplate)) {
        // Other daemons may have had it read there. A miss costs a millisecond.
        plan.fetchFromEngine = question.keeper;
        return;
    }
    if (hasTemplate) {
        return;
    }
    // The rest is taken for new; its first part was mostly read with another prompt.
    const std::optional<std::string> templateReader = m_residents.lastReader(templateKey, isOther, now);
    if (templateReader.has_value()) {
        plan.fetchFromEngine = *templateReader;
    } else if (m_stored.isReachable() && isLinkFree(now)) {
        plan.fetchesFromStore = true;
        const bool mayHold = !m_stored.isFollowed() || m_stored.holdsAll(question.salt, question.templateParts(), now);
        m_link.add(mayHold ? static_cast<double>(question.templateTokens) * question.bytesPerToken : 0, now);
    } else {
        plan.fetchFromEngine = question.templateKeeper;
    }
}

TransferPlan TransferPlanner::plan(const TransferQuestion &question, const EngineResidents::EngineFilter &isUsable, TimePoint now)
{
    TransferPlan plan;
    if (question.sharedTokens < minTransferTokens) {
        return plan;
    }
    const bool isResident = question.knownPrefixes == allPrefixes
        || m_residents.isResident(question.engine, residentKey(question.salt, question.prefixHash), now);
    if (!isResident) {
        planFetch(question, isUsable, now, plan);
    }
    planSave(question, now, plan);
    return plan;
}

void TransferPlanner::planSave(const TransferQuestion &question, TimePoint now, TransferPlan &plan)
{
    if (!m_stored.shouldSave(question.salt, question.sharedParts, now)) {
        return;
    }
    const bool isTemplateMissing = m_stored.shouldSave(question.salt, question.templateParts(), now);
    if (m_link.backlog(now) < (isTemplateMissing ? maxTemplateSaveBacklog : maxSaveBacklog)) {
        plan.savesToStore = true;
        m_link.add(static_cast<double>(question.sharedTokens + question.ownTokens) * question.bytesPerToken, now);
        m_stored.noteSaving(question.salt, question.sharedParts, now);
    }
}

}
