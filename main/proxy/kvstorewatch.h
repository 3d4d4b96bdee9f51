#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/operatorfeed.h"
#include "platform/kvevents.h"
#include "servers/kvstorepool.h"
#include "servers/quotagate.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronspar
{

/**
 * Keeps the pool of KV cache stores equal to the configuration, and polls the
 * event feed of each store to track which prefixes it holds and whether it is
 * reachable.
 */
class KvStoreWatch
{
private:
    /** The position in the event feed of one store. */
    struct Feed
    {
        std::int64_t nextEvent = 0;
        std::int64_t bootEpoch = 0;
    };

    Loop &m_loop;
    OperatorFeed &m_operatorFeed;
    KvStorePool &m_stores;
    const QuotaGate &m_quotaGate;
    DecisionLog &m_log;
    platform::KvEventsClient m_client;
    /** By the address of the store. */
    std::map<std::string, Feed> m_feeds;

    void refreshStores();
    void poll(const std::string &address);
    void pollAfter(const std::string &address, Duration delay);
    void handleFailure(KvStorePool::Store &store, platform::KvEventsFailure failure);
    void handleEvents(KvStorePool::Store &store, Feed &feed, const platform::KvEvents &events);
    void setReachable(KvStorePool::Store &store, bool isReachable);

public:
    /** @param quotaGate knows the number of entry daemons that share the links of the stores */
    KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operatorFeed, KvStorePool &stores, const QuotaGate &quotaGate, DecisionLog &log);

    void start();
};

}
