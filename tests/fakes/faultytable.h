#pragma once

#include "servers/claimrow.h"
#include "tests/fakes/faketable.h"
#include "tests/fakes/schedule.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace citronspar
{

/** Simulated remote table in virtual time with injected faults: delays, outages, and lost requests and replies. */
template<class Value> class FaultyTable
{
public:
    using Row = typename FakeTable<Value>::Row;

    struct Faults
    {
        Duration maxDelay = std::chrono::milliseconds(300);
        Duration timeout = std::chrono::milliseconds(800);
        double loseRequest = 0.05;
        double loseReply = 0.15;
        /** Probability that a write is applied only 1 to 5 s later, after the caller has timed out. */
        double lateEffect = 0.05;
    };

private:
    Schedule &m_schedule;
    FakeTable<Value> m_table;
    Faults m_faults;
    bool m_isDown = false;

    Duration requestDelay()
    {
        if (m_schedule.chance(m_faults.lateEffect)) {
            return m_schedule.pickDuration(std::chrono::seconds(1), std::chrono::seconds(5));
        }
        return m_schedule.pickDuration(Duration(100), m_faults.maxDelay);
    }

public:
    FaultyTable(Schedule &schedule, Faults faults)
        : m_schedule(schedule)
        , m_faults(faults)
    {
    }

    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

    FakeTable<Value> &content()
    {
        return m_table;
    }

    /** Writes one row. Calls @p done exactly once, with Unknown if no reply arrives within the timeout. */
    void write(const std::string &key, std::int64_t expectedRevision, const Value &value, std::function<void(TableOutcome, Row)> done)
    {
        const std::shared_ptr<bool> hasCompleted = std::make_shared<bool>(false);
        const bool isReplyLost = m_schedule.chance(m_faults.loseReply);
        if (!m_schedule.chance(m_faults.loseRequest)) {
            m_schedule.after(requestDelay(), [this, key, expectedRevision, value, done, hasCompleted, isReplyLost]() {
                if (m_isDown) {
                    return;
                }
                const bool isCommitted = m_table.transact({{key, expectedRevision, value}});
                const Row row = m_table.read(key);
                if (isReplyLost || *hasCompleted) {
                    return;
                }
                *hasCompleted = true;
                done(isCommitted ? TableOutcome::Committed : TableOutcome::Conflict, row);
            });
        }
        m_schedule.after(m_faults.timeout, [done, hasCompleted]() {
            if (!*hasCompleted) {
                *hasCompleted = true;
                done(TableOutcome::Unknown, Row());
            }
        });
    }

    /** Reads one row. Calls @p done exactly once, with nullopt if no reply arrives within the timeout. */
    void read(const std::string &key, std::function<void(std::optional<Row>)> done)
    {
        const std::shared_ptr<bool> hasCompleted = std::make_shared<bool>(false);
        m_schedule.after(m_schedule.pickDuration(Duration(100), m_faults.maxDelay), [this, key, done, hasCompleted]() {
            if (!m_isDown && !*hasCompleted) {
                *hasCompleted = true;
                done(m_table.read(key));
            }
        });
        m_schedule.after(m_faults.timeout, [done, hasCompleted]() {
            if (!*hasCompleted) {
                *hasCompleted = true;
                done(std::nullopt);
            }
        });
    }
};

}
