#include "servers/tablefollower.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// A poll that the store answers this long after it was sent has waited there for a change. Covers the way to the store.
constexpr Duration minPollWait = std::chrono::milliseconds(100);

}

TableFollower::Request TableFollower::nextRequest(TimePoint now)
{
    Request request;
    request.number = ++m_lastRequest;
    request.sentAt = now;
    request.readsRows = !m_hasSnapshot;
    if (request.readsRows) {
        request.from = m_nextPage;
        return request;
    }
    request.after = m_version;
    // During an outage requests do not wait, so that the recovery is noticed at once.
    request.isShort = m_isFailing || m_clock.needsShortExchange(now);
    if (request.isShort) {
        m_clock.recordShortExchange(now);
    }
    return request;
}

bool TableFollower::recordEra(std::int64_t era)
{
    const bool isNew = m_era.has_value() && era > *m_era;
    if (!m_era.has_value() || isNew) {
        m_era = era;
    }
    if (isNew) {
        discardSnapshot();
        m_isSnapshotOfNewEra = true;
        m_clock = StoreClock();
        // A request on its way was sent in the earlier era.
        ++m_lastRequest;
    }
    return isNew;
}

void TableFollower::discardSnapshot()
{
    if (m_hasSnapshot) {
        m_isSnapshotOfNewEra = false;
    }
    m_hasSnapshot = false;
    m_nextPage.clear();
}

TableFollower::Step TableFollower::handleResponse(const Request &request, const Response &response, TimePoint now)
{
    const Step step = interpretResponse(request, response, now);
    if (step == Step::Snapshot || step == Step::Changes) {
        const bool hasWaited = step == Step::Changes && !request.isShort && m_producedAt - request.sentAt >= minPollWait;
        m_changedAfter = hasWaited ? m_producedAt : m_knownAt;
        m_knownAt = m_producedAt;
    }
    return step;
}

TableFollower::Step TableFollower::interpretResponse(const Request &request, const Response &response, TimePoint now)
{
    if (request.number != m_lastRequest) {
        return Step::Ignore;
    }
    if (response.era.has_value() && recordEra(*response.era)) {
        return Step::Repeat;
    }
    if (response.era.has_value() && *response.era < *m_era) {
        return Step::Repeat;
    }
    if (response.outcome == Response::Outcome::Failed) {
        m_isFailing = true;
        m_nextPage.clear();
        return Step::Failed;
    }
    if (response.outcome == Response::Outcome::HistoryGone) {
        discardSnapshot();
        return Step::HistoryGone;
    }
    m_producedAt = response.storeTime.has_value() ? m_clock.estimateAnswerTime(request.sentAt, now, *response.storeTime) : request.sentAt;
    if (request.readsRows) {
        return handlePage(response);
    }
    m_isFailing = false;
    m_version = std::max(m_version, response.version);
    return Step::Changes;
}

TableFollower::Step TableFollower::handlePage(const Response &response)
{
    if (m_nextPage.empty()) {
        // Changes made while later pages are read are delivered again by polling from this version.
        m_version = response.version;
    }
    if (response.isTruncated && !response.lastKey.empty()) {
        m_nextPage = response.lastKey + '\x01';
        return Step::Page;
    }
    m_nextPage.clear();
    m_hasSnapshot = true;
    m_isFailing = false;
    return Step::Snapshot;
}

bool TableFollower::isSnapshotOfNewEra() const
{
    return m_isSnapshotOfNewEra;
}

TimePoint TableFollower::producedAt() const
{
    return m_producedAt;
}

TimePoint TableFollower::changedAfter() const
{
    return m_changedAfter;
}

bool TableFollower::hasSnapshot() const
{
    return m_hasSnapshot;
}

bool TableFollower::isFailing() const
{
    return m_isFailing;
}

std::int64_t TableFollower::version() const
{
    return m_version;
}

std::optional<std::int64_t> TableFollower::era() const
{
    return m_era;
}

const StoreClock &TableFollower::clock() const
{
    return m_clock;
}

}
