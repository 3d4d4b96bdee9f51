#include "main/proxy/kvstorewatch.h"

namespace citronspar
{

namespace
{

// The longest long poll that the store accepts; shorter ones would cost more requests.
constexpr Duration eventsWait = std::chrono::milliseconds(1000);
constexpr Duration retryDelay = std::chrono::milliseconds(500);

// The store limits the number of concurrent long polls. A daemon beyond the limit only knows its own saves.
constexpr Duration pauseWhenBusy = std::chrono::seconds(15);
constexpr Duration pauseWithoutStore = std::chrono::seconds(1);

// Under load events arrive one by one; a short pause batches several into one request.
constexpr Duration pauseAfterEvents = std::chrono::milliseconds(150);

}

KvStoreWatch::KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operatorFeed, StoredPrefixes &prefixes, DecisionLog &log)
    : m_loop(loop)
    , m_operatorFeed(operatorFeed)
    , m_prefixes(prefixes)
    , m_log(log)
    , m_client(pool)
{
}

void KvStoreWatch::start()
{
    poll();
}

void KvStoreWatch::pollAfter(Duration delay)
{
    m_loop.timers().subscribeOnce(delay, [this](TimePoint) {
        poll();
    });
}

void KvStoreWatch::poll()
{
    const std::shared_ptr<const TrafficConfig> config = m_operatorFeed.config();
    const TrafficService *store = config == nullptr ? nullptr : config->kvStore();
    m_storeAddress = store == nullptr ? std::string() : store->kvStoreAddress;
    if (m_storeAddress.empty()) {
        m_prefixes.setReachable(false);
        pollAfter(pauseWithoutStore);
        return;
    }
    m_client.fetch(m_storeAddress, m_nextEvent, eventsWait,
                   [this](const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure) {
                       handleEvents(events, failure);
                   });
}

void KvStoreWatch::setReachable(bool isReachable)
{
    if (m_prefixes.isReachable() != isReachable) {
        m_log.write("kv store", isReachable ? "reachable" : "unreachable", {{"address", m_storeAddress}});
        m_prefixes.setReachable(isReachable);
    }
}

void KvStoreWatch::handleEvents(const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure)
{
    if (!events.has_value()) {
        if (failure == platform::KvEventsFailure::Busy) {
            m_prefixes.setSubscribed(false);
            pollAfter(pauseWhenBusy);
            return;
        }
        setReachable(false);
        pollAfter(retryDelay);
        return;
    }
    setReachable(true);
    m_prefixes.setSubscribed(true);
    if (events->bootEpoch != m_bootEpoch || events->hasGap) {
        m_log.write("kv store", "contents unknown, known prefixes cleared",
                    {{"epoch", std::to_string(events->bootEpoch)}, {"gap", events->hasGap ? "yes" : "no"}});
        m_prefixes.clear();
        m_bootEpoch = events->bootEpoch;
    }
    const TimePoint now = Loop::now();
    for (const platform::KvEvent &event : events->events) {
        if (event.isStored) {
            m_prefixes.recordStored(event.salt, event.part, now);
        } else {
            m_prefixes.recordDropped(event.salt, event.part);
        }
    }
    m_nextEvent = events->next;
    pollAfter(events->events.empty() ? Duration::zero() : pauseAfterEvents);
}

}
