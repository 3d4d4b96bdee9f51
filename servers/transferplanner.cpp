#include "servers/transferplanner.h"

#include "core/hash.h"

namespace citronspar
{

namespace
{

// Shorter shared prefixes are prefilled before a transfer would start.
constexpr std::int64_t minTransferTokens = 1000;

// Fetching is worthwhile while the wait for the link is not much longer than the prefill of the prefix.
constexpr Duration maxFetchBacklog = std::chrono::milliseconds(400);

// Lower than maxFetchBacklog, so that fetches take precedence over saves.
constexpr Duration maxSaveBacklog = std::chrono::milliseconds(120);

// As high as for fetches: once a first part is stored, many engines do not have to prefill it.
constexpr Duration maxTemplateSaveBacklog = maxFetchBacklog;

// The number of prefixes of a prompt: the first part, and all shared parts.
constexpr int allPrefixes = 2;

constexpr std::uint64_t saltSeed = 0x9e37;

}

TransferPlanner::TransferPlanner()
    : m_stored(StoredPrefixes::Settings())
    , m_resident(engineCacheLifetime)
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

StoredPrefixes &TransferPlanner::storedPrefixes()
{
    return m_stored;
}

void TransferPlanner::recordPrefilled(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now)
{
    m_resident.recordPrefilled(engine, residentKey(salt, prefixHash), now);
}

bool TransferPlanner::hasFetchCapacity(TimePoint now)
{
    return m_link.backlog(now) < maxFetchBacklog;
}

void TransferPlanner::planFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now,
                                TransferPlan &plan)
{
    const ResidentPrefixes::EngineFilter isOtherUsable = [&](const std::string &engine) {
        return engine != query.engine && isUsable(engine);
    };
    const std::optional<std::string> latestEngine = m_resident.latestEngine(residentKey(query.salt, query.prefixHash), isOtherUsable, now);
    const std::uint64_t templateKey = residentKey(query.salt, query.templateHash);
    if (query.sourcePrefixes == allPrefixes) {
        plan.fetchFromEngine = query.source;
        return;
    }
    if (latestEngine.has_value()) {
        // The prefix was prefilled there by a request of this daemon.
        plan.fetchFromEngine = *latestEngine;
        return;
    }
    if (m_stored.isReachable() && m_stored.holdsAll(query.salt, query.sharedParts, now) && hasFetchCapacity(now)) {
        plan.fetchesFromStore = true;
        m_link.add(static_cast<double>(query.sharedTokens) * query.bytesPerToken, now);
        return;
    }
    const bool hasTemplate = query.knownPrefixes > 0 || m_resident.isResident(query.engine, templateKey, now);
    const bool mayHaveAll = query.sourcePrefixes < 0 && (!query.isHome || hasTemplate);
    if (mayHaveAll || (query.sourcePrefixes > 0 && !hasTemplate)) {
        // Requests of other daemons may have prefilled it there. A cache miss costs a millisecond.
        plan.fetchFromEngine = query.source;
        return;
    }
    if (hasTemplate) {
        return;
    }
    // The rest of the prefix is assumed to be new; its first part has most likely been prefilled with another prompt.
    const std::optional<std::string> latestTemplateEngine = m_resident.latestEngine(templateKey, isOtherUsable, now);
    if (latestTemplateEngine.has_value()) {
        plan.fetchFromEngine = *latestTemplateEngine;
    } else if (m_stored.isReachable() && hasFetchCapacity(now)) {
        plan.fetchesFromStore = true;
        const bool mayBeStored = !m_stored.isSubscribed() || m_stored.holdsAll(query.salt, query.templateParts(), now);
        m_link.add(mayBeStored ? static_cast<double>(query.templateTokens) * query.bytesPerToken : 0, now);
    } else {
        plan.fetchFromEngine = query.templateSource;
    }
}

TransferPlan TransferPlanner::plan(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now)
{
    TransferPlan plan;
    if (query.sharedTokens < minTransferTokens) {
        return plan;
    }
    const bool isResident
        = query.knownPrefixes == allPrefixes || m_resident.isResident(query.engine, residentKey(query.salt, query.prefixHash), now);
    if (!isResident) {
        planFetch(query, isUsable, now, plan);
    }
    planSave(query, now, plan);
    return plan;
}

void TransferPlanner::planSave(const TransferQuery &query, TimePoint now, TransferPlan &plan)
{
    if (!m_stored.shouldSave(query.salt, query.sharedParts, now)) {
        return;
    }
    const bool isTemplateMissing = m_stored.shouldSave(query.salt, query.templateParts(), now);
    if (m_link.backlog(now) < (isTemplateMissing ? maxTemplateSaveBacklog : maxSaveBacklog)) {
        plan.savesToStore = true;
        m_link.add(static_cast<double>(query.sharedTokens + query.ownTokens) * query.bytesPerToken, now);
        m_stored.recordSaveStarted(query.salt, query.sharedParts, now);
    }
}

}
