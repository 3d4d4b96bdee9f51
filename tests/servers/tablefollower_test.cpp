#include "servers/tablefollower.h"
#include "tests/fakes/eventscheduler.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;
using Request = TableFollower::Request;
using Response = TableFollower::Response;
using Step = TableFollower::Step;

namespace
{

const TimePoint start{std::chrono::seconds(100)};

Response makeRows(std::int64_t version, std::optional<std::int64_t> era, const std::string &lastKey = std::string())
{
    Response response;
    response.outcome = Response::Outcome::Rows;
    response.version = version;
    response.era = era;
    response.lastKey = lastKey;
    return response;
}

/** Follows a table up to @p version in era 1. */
TableFollower makeFollower(std::int64_t version)
{
    TableFollower follower;
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(version, 1), start) == Step::Snapshot);
    CHECK_FALSE(follower.isSnapshotOfNewEra());
    return follower;
}

/** How a daemon of the simulation treats eras; all but Correct are broken on purpose. */
enum class Variant {
    Correct,
    IgnoresEras,
    /** Reads the table anew only if the store no longer has the version. */
    WaitsForHistoryGone,
};

/**
 * A fleet that follows one row of a store, whose value only grows. The store comes back from older copies and loses what it has
 * acknowledged since; the operator then writes the newest value again. A daemon must not know an older value than the one that was
 * acknowledged when the store produced the response that it has confirmed.
 */
class RestoreSimulation
{
private:
    struct Row
    {
        std::int64_t value = 0;
        std::int64_t version = 0;
    };
    struct Copy
    {
        TimePoint at;
        Row row;
        std::int64_t version = 0;
    };
    struct Daemon
    {
        TableFollower follower;
        std::int64_t value = 0;
        bool isCut = false;
        TimePoint frozenUntil{};
        int incarnation = 0;
    };

    EventScheduler m_events;
    Variant m_variant;
    std::vector<Daemon> m_daemons;
    Row m_row;
    std::int64_t m_version = 0;
    std::int64_t m_oldestVersion = 0;
    std::int64_t m_era = 1;
    bool m_isAway = false;
    std::vector<Copy> m_copies;
    /** The values that were acknowledged, with the times from which a response has to show them. */
    std::vector<std::pair<TimePoint, std::int64_t>> m_acknowledged;
    bool m_isViolated = false;

    Duration randomDelay()
    {
        const bool isLate = m_events.randomBool(0.02);
        return isLate ? m_events.randomDuration(std::chrono::milliseconds(50), std::chrono::milliseconds(1500))
                      : m_events.randomDuration(std::chrono::microseconds(200), std::chrono::milliseconds(8));
    }

    void write(std::int64_t value)
    {
        m_row = Row{value, ++m_version};
        m_acknowledged.emplace_back(m_events.now(), value);
    }

    std::int64_t acknowledgedAt(TimePoint time) const
    {
        std::int64_t value = 0;
        for (const std::pair<TimePoint, std::int64_t> &entry : m_acknowledged) {
            value = entry.first <= time ? std::max(value, entry.second) : value;
        }
        return value;
    }

    void operate()
    {
        if (!m_isAway && m_events.randomBool(0.5)) {
            write(acknowledgedAt(m_events.now()) + 1);
        } else if (!m_isAway) {
            // Other tables are written to as well.
            m_version += m_events.randomInteger(0, 3);
        }
        m_copies.push_back(Copy{m_events.now(), m_row, m_version});
        m_events.scheduleAfter(m_events.randomDuration(std::chrono::milliseconds(50), std::chrono::milliseconds(900)), [this]() {
            operate();
        });
    }

    void restore()
    {
        m_isAway = true;
        m_events.scheduleAfter(m_events.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(3)), [this]() {
            const std::size_t back = static_cast<std::size_t>(m_events.randomInteger(1, 8));
            const Copy copy = m_copies[m_copies.size() > back ? m_copies.size() - back : 0];
            m_row = copy.row;
            m_version = copy.version;
            ++m_era;
            m_isAway = false;
            const std::int64_t newest = acknowledgedAt(m_events.now());
            if (newest != m_row.value) {
                write(newest);
            }
        });
        m_events.scheduleAfter(m_events.randomDuration(std::chrono::seconds(1), std::chrono::seconds(15)), [this]() {
            restore();
        });
    }

    void disturb()
    {
        Daemon &daemon = m_daemons[static_cast<std::size_t>(m_events.randomInteger(0, static_cast<std::int64_t>(m_daemons.size()) - 1))];
        const std::size_t index = static_cast<std::size_t>(&daemon - m_daemons.data());
        switch (m_events.randomInteger(0, 3)) {
        case 0:
            daemon.frozenUntil = m_events.now() + m_events.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(4));
            break;
        case 1:
            daemon.follower = TableFollower();
            daemon.value = 0;
            ++daemon.incarnation;
            send(index);
            break;
        default:
            daemon.isCut = true;
            m_events.scheduleAfter(m_events.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(8)), [this, index]() {
                m_daemons[index].isCut = false;
            });
        }
        m_events.scheduleAfter(m_events.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(2)), [this]() {
            disturb();
        });
    }

    /** The store's answer, or nullopt if it waits for a change. */
    std::optional<Response> answer(const Request &request, bool mayWait)
    {
        Response response;
        response.era = m_era;
        response.storeTime = m_events.now().time_since_epoch() - std::chrono::seconds(77) - std::chrono::seconds(5) * m_era;
        if (!request.readsRows && (request.after > m_version || request.after < m_oldestVersion)) {
            response.outcome = Response::Outcome::HistoryGone;
            return response;
        }
        if (mayWait && !request.readsRows && m_row.version <= request.after) {
            return std::nullopt;
        }
        response.outcome = Response::Outcome::Rows;
        response.version = m_version;
        return response;
    }

    void send(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        const Request request = daemon.follower.nextRequest(m_events.now());
        const int incarnation = daemon.incarnation;
        const Duration patience = std::chrono::milliseconds(request.isShort ? 1000 : 2700);
        const std::shared_ptr<bool> isAnswered = std::make_shared<bool>(false);
        m_events.scheduleAfter(patience, [this, index, incarnation, request, isAnswered]() {
            if (!*isAnswered) {
                *isAnswered = true;
                receive(index, incarnation, request, Response(), 0);
            }
        });
        m_events.scheduleAfter(randomDelay(), [this, index, incarnation, request, isAnswered]() {
            serve(index, incarnation, request, isAnswered, m_events.now() + std::chrono::seconds(2));
        });
    }

    void serve(std::size_t index, int incarnation, const Request &request, const std::shared_ptr<bool> &isAnswered, TimePoint waitUntil)
    {
        if (m_isAway || m_daemons[index].isCut || *isAnswered) {
            return;
        }
        const std::optional<Response> response = answer(request, !request.isShort && m_events.now() < waitUntil);
        if (!response.has_value()) {
            m_events.scheduleAfter(std::chrono::milliseconds(20), [this, index, incarnation, request, isAnswered, waitUntil]() {
                serve(index, incarnation, request, isAnswered, waitUntil);
            });
            return;
        }
        const std::int64_t value = m_row.version > request.after || request.readsRows ? m_row.value : 0;
        m_events.scheduleAfter(randomDelay(), [this, index, incarnation, request, isAnswered, response, value]() {
            if (!*isAnswered && !m_daemons[index].isCut) {
                *isAnswered = true;
                receive(index, incarnation, request, *response, value);
            }
        });
    }

    void receive(std::size_t index, int incarnation, const Request &request, Response response, std::int64_t value)
    {
        Daemon &daemon = m_daemons[index];
        if (daemon.incarnation != incarnation) {
            return;
        }
        if (m_events.now() < daemon.frozenUntil) {
            m_events.scheduleAfter(daemon.frozenUntil - m_events.now(), [this, index, incarnation, request, response, value]() {
                receive(index, incarnation, request, response, value);
            });
            return;
        }
        const bool ignoresEra = m_variant == Variant::IgnoresEras
            || (m_variant == Variant::WaitsForHistoryGone && response.outcome != Response::Outcome::HistoryGone);
        if (ignoresEra) {
            response.era.reset();
        }
        const Step step = daemon.follower.handleResponse(request, response, m_events.now());
        if (step == Step::Ignore) {
            return;
        }
        if (step == Step::Snapshot || step == Step::Changes) {
            daemon.value = std::max(daemon.value, value);
            m_isViolated = m_isViolated || daemon.value < acknowledgedAt(daemon.follower.producedAt());
        }
        const bool isAtOnce = step == Step::Snapshot || step == Step::Changes || step == Step::HistoryGone;
        m_events.scheduleAfter(isAtOnce ? std::chrono::milliseconds(1) : std::chrono::milliseconds(150), [this, index, incarnation]() {
            if (m_daemons[index].incarnation == incarnation) {
                send(index);
            }
        });
    }

public:
    RestoreSimulation(std::uint64_t seed, std::size_t daemons, Variant variant)
        : m_events(seed)
        , m_variant(variant)
        , m_daemons(daemons)
    {
    }

    /** Returns whether no daemon has confirmed an older value. */
    bool holds()
    {
        write(1);
        operate();
        m_events.scheduleAfter(std::chrono::seconds(3), [this]() {
            restore();
        });
        disturb();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            send(i);
        }
        m_events.runFor(std::chrono::seconds(60));
        return !m_isViolated;
    }
};

std::uint64_t findViolation(std::uint64_t seeds, std::size_t daemons, Variant variant)
{
    return findFailingSeed(Seeds(seeds), [daemons, variant](std::uint64_t seed) {
        return RestoreSimulation(seed, daemons, variant).holds();
    });
}

}

TEST_CASE("[TableFollower] A version of an earlier era is not continued, also if the new era has given it out again")
{
    TableFollower follower = makeFollower(20);
    const Request poll = follower.nextRequest(start);
    CHECK_FALSE(poll.readsRows);
    CHECK(poll.after == 20);
    CHECK(follower.handleResponse(poll, makeRows(25, 2), start) == Step::Repeat);
    const Request reread = follower.nextRequest(start);
    CHECK(reread.readsRows);
    CHECK(reread.from.empty());
    CHECK(follower.handleResponse(reread, makeRows(12, 2), start) == Step::Snapshot);
    CHECK(follower.isSnapshotOfNewEra());
    CHECK(follower.nextRequest(start).after == 12);
}

TEST_CASE("[TableFollower] Errors, and responses to other calls, show a new era as well")
{
    for (const Response::Outcome outcome : {Response::Outcome::Failed, Response::Outcome::HistoryGone}) {
        TableFollower follower = makeFollower(20);
        Response response;
        response.outcome = outcome;
        response.era = 2;
        CHECK(follower.handleResponse(follower.nextRequest(start), response, start) == Step::Repeat);
        CHECK(follower.nextRequest(start).readsRows);
    }
    TableFollower follower = makeFollower(20);
    const Request longPoll = follower.nextRequest(start);
    CHECK_FALSE(follower.recordEra(1));
    CHECK(follower.recordEra(2));
    CHECK_FALSE(follower.recordEra(2));
    // A response to what was sent before belongs to the earlier era, whatever it states.
    CHECK(follower.handleResponse(longPoll, makeRows(30, 2), start) == Step::Ignore);
    CHECK(follower.nextRequest(start).readsRows);
}

TEST_CASE("[TableFollower] A response of an earlier era does not count after one of a newer era")
{
    TableFollower follower = makeFollower(20);
    CHECK(follower.recordEra(3));
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(40, 2), start) == Step::Repeat);
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(8, 3), start) == Step::Snapshot);
    CHECK(follower.version() == 8);
}

TEST_CASE("[TableFollower] The pages of a snapshot are of one era")
{
    TableFollower follower;
    Response page = makeRows(20, 1, "k");
    page.isTruncated = true;
    CHECK(follower.handleResponse(follower.nextRequest(start), page, start) == Step::Page);
    const Request second = follower.nextRequest(start);
    CHECK(second.from == std::string("k") + '\x01');
    CHECK(follower.handleResponse(second, makeRows(15, 2), start) == Step::Repeat);
    CHECK(follower.nextRequest(start).from.empty());
}

TEST_CASE("[TableFollower] After a restore, and another before the table was read, the snapshot is marked, and later ones are not")
{
    TableFollower follower = makeFollower(20);
    CHECK(follower.recordEra(2));
    follower.nextRequest(start);
    CHECK(follower.recordEra(3));
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(5, 3), start) == Step::Snapshot);
    CHECK(follower.isSnapshotOfNewEra());
    Response gone;
    gone.outcome = Response::Outcome::HistoryGone;
    gone.era = 3;
    CHECK(follower.handleResponse(follower.nextRequest(start), gone, start) == Step::HistoryGone);
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(6, 3), start) == Step::Snapshot);
    CHECK_FALSE(follower.isSnapshotOfNewEra());
}

TEST_CASE("[TableFollower] The clock of an earlier era does not date responses of a new one")
{
    TableFollower follower;
    Response response = makeRows(20, 1);
    response.storeTime = std::chrono::seconds(1000);
    CHECK(follower.handleResponse(follower.nextRequest(start), response, start) == Step::Snapshot);
    follower.recordEra(2);
    // The clock of the new era is ahead: by the old offset the response would be dated to its receipt.
    response.era = 2;
    response.storeTime = std::chrono::seconds(5000);
    const TimePoint receivedAt = start + std::chrono::seconds(1);
    CHECK(follower.handleResponse(follower.nextRequest(start), response, receivedAt) == Step::Snapshot);
    CHECK(follower.producedAt() == start);
}

// Guards against taking a change for new that failed or refused polls have delayed.
TEST_CASE("[TableFollower] A change counts from the last response without it, unless the poll has waited for it")
{
    const auto at = [](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    const auto rowsAt = [](std::int64_t version, int milliseconds) {
        Response response = makeRows(version, 1);
        response.storeTime = std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds);
        return response;
    };
    TableFollower follower;
    CHECK(follower.handleResponse(follower.nextRequest(at(0)), rowsAt(20, 0), at(0)) == Step::Snapshot);
    CHECK(follower.changedAfter() == timeNever);
    // The first poll is short, and synchronizes the clock.
    CHECK(follower.handleResponse(follower.nextRequest(at(0)), rowsAt(20, 0), at(0)) == Step::Changes);

    const Request waiting = follower.nextRequest(at(200));
    REQUIRE_FALSE(waiting.isShort);
    CHECK(follower.handleResponse(waiting, rowsAt(21, 900), at(900)) == Step::Changes);
    CHECK(at(900) - follower.changedAfter() <= std::chrono::milliseconds(2));

    // The change was there when the poll arrived.
    CHECK(follower.handleResponse(follower.nextRequest(at(1100)), rowsAt(22, 1101), at(1102)) == Step::Changes);
    CHECK(at(900) - follower.changedAfter() <= std::chrono::milliseconds(2));
    CHECK(follower.changedAfter() <= at(900));

    for (int failedAt = 1300; failedAt < 2900; failedAt += 400) {
        CHECK(follower.handleResponse(follower.nextRequest(at(failedAt)), Response(), at(failedAt)) == Step::Failed);
    }
    CHECK(follower.handleResponse(follower.nextRequest(at(2900)), rowsAt(23, 2901), at(2902)) == Step::Changes);
    CHECK(follower.changedAfter() <= at(1101));
    CHECK(follower.changedAfter() >= at(1000));

    // A snapshot that replaces dropped history holds all changes since.
    Response gone;
    gone.outcome = Response::Outcome::HistoryGone;
    gone.era = 1;
    CHECK(follower.handleResponse(follower.nextRequest(at(3000)), gone, at(3000)) == Step::HistoryGone);
    CHECK(follower.handleResponse(follower.nextRequest(at(5000)), rowsAt(30, 5001), at(5002)) == Step::Snapshot);
    CHECK(follower.changedAfter() <= at(2901));
}

TEST_CASE("[TableFollower] A store that states no era is followed as before")
{
    TableFollower follower;
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(20, std::nullopt), start) == Step::Snapshot);
    CHECK(follower.handleResponse(follower.nextRequest(start), makeRows(21, std::nullopt), start) == Step::Changes);
    CHECK(follower.version() == 21);
}

TEST_CASE(
    "[TableFollower] No daemon of a fleet confirms an older value than the acknowledged one, whatever copies the store comes back from")
{
    CHECK(findViolation(60, 3, Variant::Correct) == 0);
    CHECK(findViolation(20, 33, Variant::Correct) == 0);
    CHECK(findViolation(60, 3, Variant::IgnoresEras) != 0);
    CHECK(findViolation(60, 3, Variant::WaitsForHistoryGone) != 0);
}
