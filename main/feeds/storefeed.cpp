#include "main/feeds/storefeed.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

namespace
{

// Calls are priced and rationed also when they are refused, yet what changed
// in an outage has to be known soon after it.
constexpr Duration firstPause = std::chrono::milliseconds(150);
constexpr Duration longestPause = std::chrono::milliseconds(700);

const char *failureName(platform::StoreFailure failure)
{
    switch (failure) {
    case platform::StoreFailure::NoAnswer:
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

StoreFeed::StoreFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string table, Pace pace, Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_table(std::move(table))
    , m_pace(pace)
    , m_handlers(std::move(handlers))
{
}

void StoreFeed::start()
{
    m_isFollowing = true;
    ask(std::string());
}

void StoreFeed::readOnce()
{
    if (m_isReading) {
        return;
    }
    m_isReading = true;
    m_hasSnapshot = false;
    ask(std::string());
}

void StoreFeed::ask(const std::string &from)
{
    const TimePoint askedAt = Loop::now();
    if (m_hasSnapshot) {
        // In an outage a question does not wait at the store, so that the first answer after it comes soon.
        const bool isShort = m_isOut || m_clock.needsShortExchange(askedAt);
        if (isShort) {
            m_clock.noteShortExchange(askedAt);
        }
        m_store.feed(m_table, m_version, isShort ? Duration::zero() : m_pace.wait, [this, askedAt](const platform::StoreReply &reply) {
            takeChanges(reply, askedAt);
        });
        return;
    }
    m_store.read(m_table, from, [this, askedAt](const platform::StoreReply &reply) {
        takeSnapshot(reply, askedAt);
    });
}

void StoreFeed::takeSnapshot(const platform::StoreReply &reply, TimePoint askedAt)
{
    if (reply.failure.has_value()) {
        fail(reply);
        return;
    }
    if (m_pages.empty()) {
        // Changes made while later pages are read come again through the feed.
        m_version = reply.rows.version;
    }
    m_pages.insert(m_pages.end(), reply.rows.rows.begin(), reply.rows.rows.end());
    if (reply.rows.isTruncated && !reply.rows.rows.empty()) {
        ask(reply.rows.rows.back().key + '\x01');
        return;
    }
    m_hasSnapshot = true;
    const std::vector<platform::StoreRow> rows = std::move(m_pages);
    m_pages.clear();
    m_handlers.onSnapshot(rows);
    succeed(reply, askedAt, false);
}

void StoreFeed::takeChanges(const platform::StoreReply &reply, TimePoint askedAt)
{
    if (reply.failure == platform::StoreFailure::HistoryGone) {
        m_log.write("store", "history gone", {{"table", m_table}, {"version", std::to_string(m_version)}});
        m_hasSnapshot = false;
        // A store that loses its history again and again is not asked without a pause.
        m_loop.timers().subscribeOnce(m_gapPause, [this](TimePoint) {
            ask(std::string());
        });
        m_gapPause = longestPause;
        return;
    }
    if (reply.failure.has_value()) {
        fail(reply);
        return;
    }
    m_gapPause = Duration::zero();
    m_version = std::max(m_version, reply.rows.version);
    if (!reply.rows.rows.empty()) {
        m_handlers.onChanges(reply.rows.rows);
    }
    succeed(reply, askedAt, !reply.rows.rows.empty());
}

void StoreFeed::succeed(const platform::StoreReply &reply, TimePoint askedAt, bool hadChanges)
{
    if (m_isOut) {
        m_isOut = false;
        m_log.write("store", "answers again", {{"table", m_table}});
    }
    m_pause = Duration::zero();
    m_isReading = false;
    m_handlers.onConfirmed(reply.rows.storeTime.has_value() ? m_clock.answeredAt(askedAt, Loop::now(), *reply.rows.storeTime) : askedAt);
    if (!m_isFollowing) {
        return;
    }
    m_loop.timers().subscribeOnce(hadChanges ? m_pace.pauseAfterChanges : Duration::zero(), [this](TimePoint) {
        ask(std::string());
    });
}

void StoreFeed::fail(const platform::StoreReply &reply)
{
    m_pages.clear();
    if (!m_isOut) {
        m_isOut = true;
        m_log.write("store", "does not answer",
                    {{"table", m_table}, {"failure", failureName(*reply.failure)}, {"status", std::to_string(reply.status)}});
    }
    m_handlers.onOutage(Loop::now());
    m_pause = std::min(longestPause, std::max(firstPause, m_pause * 2));
    m_loop.timers().subscribeOnce(m_pause, [this](TimePoint) {
        ask(std::string());
    });
}

}
