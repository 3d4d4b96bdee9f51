#include "main/proxy/kvstorewatch.h"

#include <set>
#include <vector>

namespace citronspar
{

namespace
{

// The longest long poll that the store accepts; shorter ones would cost more requests.
constexpr Duration eventsWait = std::chrono::milliseconds(1000);
constexpr Duration retryDelay = std::chrono::milliseconds(500);

// The store limits the number of concurrent long polls. A daemon beyond the limit relies on the endpoint daemons for the
// store's contents, and asks again only to notice that the store is down.
constexpr Duration pauseWhenBusy = std::chrono::seconds(4);

// Under load events arrive one by one; a short pause batches several into one request.
constexpr Duration pauseAfterEvents = std::chrono::milliseconds(150);

constexpr Duration refreshPeriod = std::chrono::milliseconds(500);

}

KvStoreWatch::KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operatorFeed, KvStorePool &stores, const QuotaGate &quotaGate,
                           DecisionLog &log)
    : m_loop(loop)
    , m_operatorFeed(operatorFeed)
    , m_stores(stores)
    , m_quotaGate(quotaGate)
    , m_log(log)
    , m_client(pool)
{
}

void KvStoreWatch::start()
{
    m_loop.timers().subscribe(refreshPeriod, [this](TimePoint) {
        refreshStores();
    });
}

void KvStoreWatch::refreshStores()
{
    const std::shared_ptr<const TrafficConfig> config = m_operatorFeed.config();
    if (config == nullptr) {
        return;
    }
    std::vector<KvStoreInfo> stores;
    std::set<std::string> addresses;
    for (const TrafficService *service : config->kvStores()) {
        stores.push_back(KvStoreInfo{service->kvStoreAddress, service->kvStoreTokens, service->kvLinkBytesPerSecond});
        addresses.insert(service->kvStoreAddress);
    }
    m_stores.setStores(stores, m_quotaGate.daemonCount());
    for (auto it = m_feeds.begin(); it != m_feeds.end();) {
        it = addresses.count(it->first) > 0 ? std::next(it) : m_feeds.erase(it);
    }
    for (const std::string &address : addresses) {
        if (m_feeds.emplace(address, Feed()).second) {
            m_log.write("kv store", "added", {{"address", address}});
            poll(address);
        }
    }
}

void KvStoreWatch::pollAfter(const std::string &address, Duration delay)
{
    m_loop.timers().subscribeOnce(delay, [this, address](TimePoint) {
        poll(address);
    });
}

void KvStoreWatch::poll(const std::string &address)
{
    const auto feed = m_feeds.find(address);
    if (feed == m_feeds.end()) {
        return;
    }
    m_client.fetch(address, feed->second.nextEvent, eventsWait,
                   [this, address](const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure) {
                       const auto found = m_feeds.find(address);
                       KvStorePool::Store *store = m_stores.find(address);
                       if (found == m_feeds.end() || store == nullptr) {
                           return;
                       }
                       if (events.has_value()) {
                           handleEvents(*store, found->second, *events);
                       } else {
                           handleFailure(*store, failure);
                       }
                   });
}

void KvStoreWatch::setReachable(KvStorePool::Store &store, bool isReachable)
{
    if (store.stored.isReachable() != isReachable) {
        m_log.write("kv store", isReachable ? "reachable" : "unreachable", {{"address", store.info.address}});
        store.stored.setReachable(isReachable);
    }
}

void KvStoreWatch::handleFailure(KvStorePool::Store &store, platform::KvEventsFailure failure)
{
    if (failure == platform::KvEventsFailure::Busy) {
        setReachable(store, true);
        store.stored.setSubscribed(false);
        pollAfter(store.info.address, pauseWhenBusy);
        return;
    }
    setReachable(store, false);
    pollAfter(store.info.address, retryDelay);
}

void KvStoreWatch::handleEvents(KvStorePool::Store &store, Feed &feed, const platform::KvEvents &events)
{
    setReachable(store, true);
    store.stored.setSubscribed(true);
    if (events.bootEpoch != feed.bootEpoch || events.hasGap) {
        m_log.write("kv store", "contents unknown, known prefixes cleared",
                    {{"address", store.info.address}, {"epoch", std::to_string(events.bootEpoch)}, {"gap", events.hasGap ? "yes" : "no"}});
        store.stored.clear();
        feed.bootEpoch = events.bootEpoch;
    }
    const TimePoint now = Loop::now();
    for (const platform::KvEvent &event : events.events) {
        if (event.isStored) {
            store.stored.recordStored(event.salt, event.part, now);
        } else {
            store.stored.recordDropped(event.salt, event.part);
        }
    }
    feed.nextEvent = events.next;
    pollAfter(store.info.address, events.events.empty() ? Duration::zero() : pauseAfterEvents);
}

}
