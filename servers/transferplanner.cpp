#include "servers/transferplanner.h"

#include "core/hash.h"

namespace citronspar
{

namespace
{

// Shorter shared prefixes are prefilled before a transfer would start.
constexpr std::int64_t minTransferTokens = 1000;

// Fetching is worthwhile while the wait for the link is not much longer than the prefill of the prefix. The backlog is that
// of one daemon's share of the link, of which a single transfer may take half a second, so a burst of a few is allowed.
constexpr Duration maxFetchBacklog = std::chrono::milliseconds(1200);

// Lower than maxFetchBacklog, so that fetches take precedence over saves.
constexpr Duration maxSaveBacklog = std::chrono::milliseconds(500);

// As high as for fetches: once a first part is stored, many engines do not have to prefill it.
constexpr Duration maxTemplateSaveBacklog = maxFetchBacklog;

// An engine that cached a prefix longer ago than this may have evicted it.
constexpr Duration reliableCacheAge = std::chrono::milliseconds(2500);

// The probability that a prefix counts as cached although it was evicted.
constexpr double evictedFraction = 0.2;

// Events confirm a save within this time. A prefix that was saved earlier and is not known to a subscriber was dropped.
constexpr Duration saveConfirmationTime = std::chrono::milliseconds(1200);

// The number of prefixes of a prompt: the first part, and all shared parts.
constexpr int allPrefixes = 2;

constexpr std::uint64_t saltSeed = 0x9e37;

}

TransferPlanner::TransferPlanner()
    : m_resident(engineCacheLifetime)
{
}

std::uint64_t TransferPlanner::residentKey(const std::string &salt, std::uint64_t prefixHash)
{
    return hashCombine(prefixHash, hashBytes(salt, saltSeed));
}

KvStorePool &TransferPlanner::stores()
{
    return m_stores;
}

void TransferPlanner::recordPrefilled(const std::string &engine, const std::string &salt, std::uint64_t prefixHash, TimePoint now)
{
    m_resident.recordPrefilled(engine, residentKey(salt, prefixHash), now);
}

bool TransferPlanner::hasFetchCapacity(KvStorePool::Store &store, TimePoint now)
{
    return store.link.backlog(now) < maxFetchBacklog;
}

bool TransferPlanner::isStored(const TransferQuery &query, const KvStorePool::Store &store, TimePoint now)
{
    if (store.stored.holdsAll(query.salt, query.sharedParts, now)) {
        return true;
    }
    if (!query.record.savedAge.has_value()) {
        return false;
    }
    return !store.stored.isSubscribed() || *query.record.savedAge < saveConfirmationTime;
}

std::string TransferPlanner::findSource(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isOtherUsable, bool isStored,
                                        TimePoint now) const
{
    if (query.sourcePrefixes == allPrefixes) {
        return query.source;
    }
    const bool isReliable = query.record.cachedAge < reliableCacheAge || !isStored;
    if (!query.record.engine.empty() && isReliable && isOtherUsable(query.record.engine)) {
        return query.record.engine;
    }
    return m_resident.latestEngine(residentKey(query.salt, query.prefixHash), isOtherUsable, now).value_or(std::string());
}

void TransferPlanner::planFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isUsable, TimePoint now,
                                TransferPlan &plan)
{
    const ResidentPrefixes::EngineFilter isOtherUsable = [&](const std::string &engine) {
        return engine != query.engine && isUsable(engine);
    };
    KvStorePool::Store *store = m_stores.storeOf(query.prefixHash);
    const bool canFetchFromStore = store != nullptr && isStored(query, *store, now) && hasFetchCapacity(*store, now);
    plan.fetchFromEngine = findSource(query, isOtherUsable, canFetchFromStore, now);
    if (!plan.fetchFromEngine.empty()) {
        plan.expectedTokens = query.sharedTokens;
        return;
    }
    if (canFetchFromStore) {
        plan.fetchFromStore = store->info.address;
        plan.expectedTokens = query.sharedTokens;
        store->link.add(static_cast<double>(query.sharedTokens) * query.bytesPerToken, now);
        return;
    }
    const bool hasTemplate
        = query.knownPrefixes > 0 || m_resident.isResident(query.engine, residentKey(query.salt, query.templateHash), now);
    const bool mayHaveAll = query.sourcePrefixes < 0 && !query.isRecordKnown && (!query.isHome || hasTemplate);
    if (mayHaveAll || (query.sourcePrefixes > 0 && !hasTemplate)) {
        // Requests of other daemons may have prefilled it there. A cache miss costs a millisecond.
        plan.fetchFromEngine = query.source;
        plan.expectedTokens = query.sourcePrefixes > 0 ? query.templateTokens : 0;
        return;
    }
    if (!hasTemplate) {
        planTemplateFetch(query, isOtherUsable, now, plan);
    }
}

void TransferPlanner::planRefetch(const TransferQuery &query, TimePoint now, TransferPlan &plan)
{
    KvStorePool::Store *store = m_stores.storeOf(query.prefixHash);
    if (store != nullptr && isStored(query, *store, now) && hasFetchCapacity(*store, now)) {
        plan.fetchFromStore = store->info.address;
        store->link.add(evictedFraction * static_cast<double>(query.sharedTokens) * query.bytesPerToken, now);
    }
}

void TransferPlanner::planTemplateFetch(const TransferQuery &query, const ResidentPrefixes::EngineFilter &isOtherUsable, TimePoint now,
                                        TransferPlan &plan)
{
    // The rest of the prefix is assumed to be new; its first part has most likely been prefilled with another prompt.
    const std::optional<std::string> latestEngine
        = m_resident.latestEngine(residentKey(query.salt, query.templateHash), isOtherUsable, now);
    KvStorePool::Store *store = m_stores.storeOf(query.prefixHash);
    plan.expectedTokens = query.templateTokens;
    if (latestEngine.has_value()) {
        plan.fetchFromEngine = *latestEngine;
    } else if (store != nullptr && hasFetchCapacity(*store, now)) {
        plan.fetchFromStore = store->info.address;
        const bool mayBeStored = !store->stored.isSubscribed() || store->stored.holdsAll(query.salt, query.templateParts(), now);
        store->link.add(mayBeStored ? static_cast<double>(query.templateTokens) * query.bytesPerToken : 0, now);
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
    if (isResident) {
        planRefetch(query, now, plan);
    } else {
        planFetch(query, isUsable, now, plan);
    }
    planSave(query, now, plan);
    return plan;
}

void TransferPlanner::planSave(const TransferQuery &query, TimePoint now, TransferPlan &plan)
{
    KvStorePool::Store *store = m_stores.storeOf(query.prefixHash);
    if (store == nullptr || isStored(query, *store, now)) {
        return;
    }
    const bool isTemplateMissing = store->stored.shouldSave(query.salt, query.templateParts(), now);
    if (store->link.backlog(now) < (isTemplateMissing ? maxTemplateSaveBacklog : maxSaveBacklog)) {
        plan.saveToStore = store->info.address;
        store->link.add(static_cast<double>(query.sharedTokens + query.ownTokens) * query.bytesPerToken, now);
        store->stored.recordSaveStarted(query.salt, query.sharedParts, now);
    }
}

}
