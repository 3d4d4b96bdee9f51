#pragma once

#include "servers/claimrow.h"
#include "tests/fakes/eventscheduler.h"
#include "tests/fakes/faketable.h"

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
        double requestLossProbability = 0.05;
        double replyLossProbability = 0.15;
        /** Probability that a write is applied only 1 to 5 s later, after the caller has timed out. */
        double lateWriteProbability = 0.05;
    };

private:
    EventScheduler &m_scheduler;
    FakeTable<Value> m_table;
    Faults m_faults;
    bool m_isDown = false;

    Duration requestDelay()
    {
        if (m_scheduler.randomBool(m_faults.lateWriteProbability)) {
            return m_scheduler.randomDuration(std::chrono::seconds(1), std::chrono::seconds(5));
        }
        return m_scheduler.randomDuration(Duration(100), m_faults.maxDelay);
    }

public:
    FaultyTable(EventScheduler &scheduler, Faults faults)
        : m_scheduler(scheduler)
        , m_faults(faults)
    {
    }

    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

    FakeTable<Value> &table()
    {
        return m_table;
    }

    /** Writes one row. Calls @p done exactly once, with Unknown if no reply arrives within the timeout. */
    void write(const std::string &key, std::int64_t expectedRevision, const Value &value, std::function<void(TableOutcome, Row)> done)
    {
        const std::shared_ptr<bool> hasCompleted = std::make_shared<bool>(false);
        const bool isReplyLost = m_scheduler.randomBool(m_faults.replyLossProbability);
        if (!m_scheduler.randomBool(m_faults.requestLossProbability)) {
            m_scheduler.scheduleAfter(requestDelay(), [this, key, expectedRevision, value, done, hasCompleted, isReplyLost]() {
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
        m_scheduler.scheduleAfter(m_faults.timeout, [done, hasCompleted]() {
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
        m_scheduler.scheduleAfter(m_scheduler.randomDuration(Duration(100), m_faults.maxDelay), [this, key, done, hasCompleted]() {
            if (!m_isDown && !*hasCompleted) {
                *hasCompleted = true;
                done(m_table.read(key));
            }
        });
        m_scheduler.scheduleAfter(m_faults.timeout, [done, hasCompleted]() {
            if (!*hasCompleted) {
                *hasCompleted = true;
                done(std::nullopt);
            }
        });
    }
};

}
