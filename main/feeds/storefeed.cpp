#include "main/feeds/storefeed.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

// Refused calls are billed and count against the rate limit too, yet changes
// made during an outage have to be seen soon after it.
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(700);

const char *failureName(platform::StoreFailure failure)
{
    switch (failure) {
    case platform::StoreFailure::NoResponse:
        return "no answer";
    case platform::StoreFailure::Refused:
        return "refused";
    case platform::StoreFailure::HistoryGone:
        return "history gone";
    case platform::StoreFailure::Conflict:
        return "conflict";
    }
    return "";
}

}

StoreFeed::StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, PollSettings pollSettings,
                     Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_table(std::move(table))
    , m_pollSettings(pollSettings)
    , m_handlers(std::move(handlers))
{
}

void StoreFeed::start()
{
    m_isPolling = true;
    sendRequest(std::string());
}

void StoreFeed::readOnce()
{
    if (m_isReadPending) {
        return;
    }
    m_isReadPending = true;
    m_hasSnapshot = false;
    sendRequest(std::string());
}

const StoreClock &StoreFeed::clock() const
{
    return m_clock;
}

bool StoreFeed::isConnected() const
{
    return m_hasSnapshot && !m_isFailing;
}

void StoreFeed::sendRequest(const std::string &from)
{
    const TimePoint requestedAt = Loop::now();
    if (m_hasSnapshot) {
        // During an outage requests do not long poll, so that the recovery is noticed at once.
        const bool isShortPoll = m_isFailing || m_clock.needsShortExchange(requestedAt);
        if (isShortPoll) {
            m_clock.recordShortExchange(requestedAt);
        }
        m_store.feed(m_table, m_version, isShortPoll ? Duration::zero() : m_pollSettings.longPollTimeout,
                     [this, requestedAt](const platform::StoreReply &reply) {
                         handleChanges(reply, requestedAt);
                     });
        return;
    }
    m_store.read(m_table, from, [this, requestedAt](const platform::StoreReply &reply) {
        handleSnapshot(reply, requestedAt);
    });
}

void StoreFeed::logEra(const platform::StoreReply &reply)
{
    if (!reply.era.has_value() || reply.era == m_era) {
        return;
    }
    m_log.write("store", "era changed",
                {{"table", m_table},
                 {"era", std::to_string(*reply.era)},
                 {"before", m_era.has_value() ? std::to_string(*m_era) : ""},
                 {"status", std::to_string(reply.status)},
                 {"version", std::to_string(reply.rows.version)},
                 {"known", std::to_string(m_version)},
                 {"rows", std::to_string(reply.rows.rows.size())}});
    m_era = reply.era;
}

void StoreFeed::handleSnapshot(const platform::StoreReply &reply, TimePoint requestedAt)
{
    logEra(reply);
    if (reply.failure.has_value()) {
        handleFailure(reply);
        return;
    }
    if (m_snapshotRows.empty()) {
        // Changes made while later pages are read are delivered again by polling from this version.
        m_version = reply.rows.version;
    }
    m_snapshotRows.insert(m_snapshotRows.end(), reply.rows.rows.begin(), reply.rows.rows.end());
    if (reply.rows.isTruncated && !reply.rows.rows.empty()) {
        sendRequest(reply.rows.rows.back().key + '\x01');
        return;
    }
    m_hasSnapshot = true;
    const std::vector<platform::StoreRow> rows = std::move(m_snapshotRows);
    m_snapshotRows.clear();
    const TimePoint producedAt = producedAtOf(reply, requestedAt);
    m_handlers.onSnapshot(rows);
    handleSuccess(producedAt, false);
}

void StoreFeed::handleChanges(const platform::StoreReply &reply, TimePoint requestedAt)
{
    logEra(reply);
    if (reply.failure == platform::StoreFailure::HistoryGone) {
        m_log.write("store", "change history dropped, rereading table", {{"table", m_table}, {"version", std::to_string(m_version)}});
        m_hasSnapshot = false;
        // The delay prevents a request loop when the store drops its history repeatedly.
        m_loop.timers().subscribeOnce(m_snapshotDelay, [this](TimePoint) {
            sendRequest(std::string());
        });
        m_snapshotDelay = maxRetryDelay;
        return;
    }
    if (reply.failure.has_value()) {
        handleFailure(reply);
        return;
    }
    m_snapshotDelay = Duration::zero();
    m_version = std::max(m_version, reply.rows.version);
    const TimePoint producedAt = producedAtOf(reply, requestedAt);
    if (!reply.rows.rows.empty()) {
        m_handlers.onChanges(reply.rows.rows);
    }
    handleSuccess(producedAt, !reply.rows.rows.empty());
}

TimePoint StoreFeed::producedAtOf(const platform::StoreReply &reply, TimePoint requestedAt)
{
    return reply.rows.storeTime.has_value() ? m_clock.estimateAnswerTime(requestedAt, Loop::now(), *reply.rows.storeTime) : requestedAt;
}

void StoreFeed::handleSuccess(TimePoint producedAt, bool hadChanges)
{
    if (m_isFailing) {
        m_isFailing = false;
        m_log.write("store", "recovered", {{"table", m_table}});
    }
    m_retryDelay = Duration::zero();
    m_isReadPending = false;
    m_handlers.onConfirmed(producedAt);
    if (!m_isPolling) {
        return;
    }
    m_loop.timers().subscribeOnce(hadChanges ? m_pollSettings.delayAfterChanges : Duration::zero(), [this](TimePoint) {
        sendRequest(std::string());
    });
}

void StoreFeed::handleFailure(const platform::StoreReply &reply)
{
    m_snapshotRows.clear();
    if (!m_isFailing) {
        m_isFailing = true;
        m_log.write("store", "request failed",
                    {{"table", m_table}, {"failure", failureName(*reply.failure)}, {"status", std::to_string(reply.status)}});
    }
    m_handlers.onOutage(Loop::now());
    m_retryDelay = std::min(maxRetryDelay, std::max(minRetryDelay, m_retryDelay * 2));
    m_loop.timers().subscribeOnce(m_retryDelay, [this](TimePoint) {
        sendRequest(std::string());
    });
}

}
