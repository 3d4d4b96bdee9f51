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

/** A table in virtual time: slow, down for a while, and with replies that get lost after the write took effect. */
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
        /** The share of requests that take effect only long after the caller gave up. */
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

    /** Writes one row; @p done is called once, with Unknown when no reply came in time. */
    void write(const std::string &key, std::int64_t expectedRevision, const Value &value, std::function<void(TableOutcome, Row)> done)
    {
        const std::shared_ptr<bool> isSettled = std::make_shared<bool>(false);
        const bool isReplyLost = m_schedule.chance(m_faults.loseReply);
        if (!m_schedule.chance(m_faults.loseRequest)) {
            m_schedule.after(requestDelay(), [this, key, expectedRevision, value, done, isSettled, isReplyLost]() {
                if (m_isDown) {
                    return;
                }
                const bool isCommitted = m_table.transact({{key, expectedRevision, value}});
                const Row row = m_table.read(key);
                if (isReplyLost || *isSettled) {
                    return;
                }
                *isSettled = true;
                done(isCommitted ? TableOutcome::Committed : TableOutcome::Conflict, row);
            });
        }
        m_schedule.after(m_faults.timeout, [done, isSettled]() {
            if (!*isSettled) {
                *isSettled = true;
                done(TableOutcome::Unknown, Row());
            }
        });
    }

    /** Reads one row; @p done is called once, with nothing when no reply came in time. */
    void read(const std::string &key, std::function<void(std::optional<Row>)> done)
    {
        const std::shared_ptr<bool> isSettled = std::make_shared<bool>(false);
        m_schedule.after(m_schedule.pickDuration(Duration(100), m_faults.maxDelay), [this, key, done, isSettled]() {
            if (!m_isDown && !*isSettled) {
                *isSettled = true;
                done(m_table.read(key));
            }
        });
        m_schedule.after(m_faults.timeout, [done, isSettled]() {
            if (!*isSettled) {
                *isSettled = true;
                done(std::nullopt);
            }
        });
    }
};

}
