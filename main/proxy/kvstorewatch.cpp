#include "main/proxy/kvstorewatch.h"

namespace citronspar
{

namespace
{

// The longest wait that the store takes; shorter ones cost more.
constexpr Duration eventsWait = std::chrono::milliseconds(1000);
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(500);

// Only so many questions may wait at the store; a daemon too many goes by its own saves.
constexpr Duration pauseWhenBusy = std::chrono::seconds(15);
constexpr Duration pauseWithoutStore = std::chrono::seconds(1);

// Events come one by one under load; a short pause takes in several with one call.
constexpr Duration pauseAfterEvents = std::chrono::milliseconds(150);

}

KvStoreWatch::KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operators, StoredPrefixes &prefixes, DecisionLog &log)
    : m_loop(loop)
    , m_operators(operators)
    , m_prefixes(prefixes)
    , m_log(log)
    , m_client(pool)
{
}

void KvStoreWatch::start()
{
    ask();
}

void KvStoreWatch::askAfter(Duration pause)
{
    m_loop.timers().subscribeOnce(pause, [this](TimePoint) {
        ask();
    });
}

void KvStoreWatch::ask()
{
    const std::shared_ptr<const TrafficConfig> config = m_operators.config();
    const TrafficService *store = config == nullptr ? nullptr : config->kvStore();
    m_source = store == nullptr ? std::string() : store->kvStoreAddress;
    if (m_source.empty()) {
        m_prefixes.setReachable(false);
        askAfter(pauseWithoutStore);
        return;
    }
    m_client.ask(m_source, m_since, eventsWait, [this](const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure) {
        take(events, failure);
    });
}

void KvStoreWatch::setReachable(bool isReachable)
{
    if (m_prefixes.isReachable() != isReachable) {
        m_log.write("kv store", isReachable ? "answers again" : "does not answer", {{"address", m_source}});
        m_prefixes.setReachable(isReachable);
    }
}

void KvStoreWatch::take(const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure)
{
    if (!events.has_value()) {
        if (failure == platform::KvEventsFailure::Busy) {
            m_prefixes.setFollowed(false);
            askAfter(pauseWhenBusy);
            return;
        }
        setReachable(false);
        askAfter(pauseAfterFailure);
        return;
    }
    setReachable(true);
    m_prefixes.setFollowed(true);
    if (events->bootEpoch != m_bootEpoch || events->hasGap) {
        m_log.write("kv store", "contents unknown", {{"epoch", std::to_string(events->bootEpoch)}, {"gap", events->hasGap ? "yes" : "no"}});
        m_prefixes.clear();
        m_bootEpoch = events->bootEpoch;
    }
    const TimePoint now = Loop::now();
    for (const platform::KvEvent &event : events->events) {
        if (event.isStored) {
            m_prefixes.noteStored(event.salt, event.part, now);
        } else {
            m_prefixes.noteDropped(event.salt, event.part);
        }
    }
    m_since = events->next;
    askAfter(events->events.empty() ? Duration::zero() : pauseAfterEvents);
}

}
