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
    store.onEra([this](std::int64_t era) {
        handleEra(era);
    });
}

void StoreFeed::start()
{
    m_isPolling = true;
    sendRequest();
}

void StoreFeed::readOnce()
{
    if (m_isReadPending) {
        return;
    }
    m_isReadPending = true;
    m_follower.discardSnapshot();
    m_snapshotRows.clear();
    sendRequest();
}

const StoreClock &StoreFeed::clock() const
{
    return m_follower.clock();
}

std::optional<std::int64_t> StoreFeed::era() const
{
    return m_follower.era();
}

TimePoint StoreFeed::changedAfter() const
{
    return m_follower.changedAfter();
}

std::int64_t StoreFeed::version() const
{
    return m_follower.version();
}

bool StoreFeed::hasSnapshot() const
{
    return m_follower.hasSnapshot();
}

bool StoreFeed::isConnected() const
{
    return m_follower.hasSnapshot() && !m_follower.isFailing();
}

void StoreFeed::sendRequest()
{
    const TableFollower::Request request = m_follower.nextRequest(Loop::now());
    const platform::StoreClient::ReplyHandler onReply = [this, request](const platform::StoreReply &reply) {
        handleReply(request, reply);
    };
    if (request.readsRows) {
        m_store.read(m_table, request.from, onReply);
    } else {
        m_store.feed(m_table, request.after, request.isShort ? Duration::zero() : m_pollSettings.longPollTimeout, onReply);
    }
}

void StoreFeed::scheduleRequest(Duration delay)
{
    m_loop.timers().unsubscribe(m_requestTimer);
    m_requestTimer = m_loop.timers().subscribeOnce(delay, [this](TimePoint) {
        m_requestTimer = 0;
        sendRequest();
    });
}

void StoreFeed::handleEra(std::int64_t era)
{
    const std::optional<std::int64_t> before = m_follower.era();
    const std::int64_t version = m_follower.version();
    if (!m_follower.recordEra(era)) {
        return;
    }
    m_log.write("store", "new era, rereading table",
                {{"table", m_table},
                 {"era", std::to_string(era)},
                 {"before", std::to_string(before.value_or(0))},
                 {"version", std::to_string(version)}});
    m_snapshotRows.clear();
    if (m_handlers.onNewEra) {
        m_handlers.onNewEra(Loop::now());
    }
    if (m_isPolling || m_isReadPending) {
        scheduleRequest(Duration::zero());
    }
}

void StoreFeed::handleReply(const TableFollower::Request &request, const platform::StoreReply &reply)
{
    TableFollower::Response response;
    response.era = reply.era;
    response.version = reply.rows.version;
    response.storeTime = reply.rows.storeTime;
    response.isTruncated = reply.rows.isTruncated;
    response.lastKey = reply.rows.rows.empty() ? std::string() : reply.rows.rows.back().key;
    if (!reply.failure.has_value()) {
        response.outcome = TableFollower::Response::Outcome::Rows;
    } else if (reply.failure == platform::StoreFailure::HistoryGone && !request.readsRows) {
        response.outcome = TableFollower::Response::Outcome::HistoryGone;
    }
    switch (m_follower.handleResponse(request, response, Loop::now())) {
    case TableFollower::Step::Ignore:
        return;
    case TableFollower::Step::Repeat:
        m_snapshotRows.clear();
        scheduleRequest(minRetryDelay);
        return;
    case TableFollower::Step::Failed:
        handleFailure(reply);
        return;
    case TableFollower::Step::HistoryGone:
        handleHistoryGone();
        return;
    case TableFollower::Step::Page:
        handlePage(reply, false);
        return;
    case TableFollower::Step::Snapshot:
        handlePage(reply, true);
        return;
    case TableFollower::Step::Changes:
        m_snapshotDelay = Duration::zero();
        if (!reply.rows.rows.empty()) {
            m_handlers.onChanges(reply.rows.rows);
        }
        handleSuccess(!reply.rows.rows.empty());
        return;
    }
}

void StoreFeed::handlePage(const platform::StoreReply &reply, bool isLast)
{
    m_snapshotRows.insert(m_snapshotRows.end(), reply.rows.rows.begin(), reply.rows.rows.end());
    if (!isLast) {
        sendRequest();
        return;
    }
    const std::vector<platform::StoreRow> rows = std::move(m_snapshotRows);
    m_snapshotRows.clear();
    m_handlers.onSnapshot(rows, m_follower.isSnapshotOfNewEra());
    handleSuccess(false);
}

void StoreFeed::handleHistoryGone()
{
    m_log.write("store", "change history dropped, rereading table",
                {{"table", m_table}, {"version", std::to_string(m_follower.version())}});
    // The delay prevents a request loop when the store drops its history repeatedly.
    scheduleRequest(m_snapshotDelay);
    m_snapshotDelay = maxRetryDelay;
}

void StoreFeed::handleSuccess(bool hadChanges)
{
    if (m_isLoggedAsFailing) {
        m_isLoggedAsFailing = false;
        m_log.write("store", "recovered", {{"table", m_table}});
    }
    m_retryDelay = Duration::zero();
    m_isReadPending = false;
    m_handlers.onConfirmed(m_follower.producedAt());
    if (m_isPolling) {
        scheduleRequest(hadChanges ? m_pollSettings.delayAfterChanges : Duration::zero());
    }
}

void StoreFeed::handleFailure(const platform::StoreReply &reply)
{
    m_snapshotRows.clear();
    if (!m_isLoggedAsFailing) {
        m_isLoggedAsFailing = true;
        m_log.write("store", "request failed",
                    {{"table", m_table}, {"failure", failureName(*reply.failure)}, {"status", std::to_string(reply.status)}});
    }
    m_handlers.onOutage(Loop::now());
    m_retryDelay = std::min(maxRetryDelay, std::max(minRetryDelay, m_retryDelay * 2));
    scheduleRequest(m_retryDelay);
}

}
