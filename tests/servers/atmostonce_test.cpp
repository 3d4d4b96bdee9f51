#include "servers/claimflow.h"
#include "servers/startgate.h"
#include "tests/fakes/faultytable.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

using namespace citronspar;

namespace
{

/** Ways to break the mechanism, each of which the checker must notice. */
enum class Defect {
    None,
    /** The naive version: no claim, and lost work is sent again. */
    ResendWhenLost,
    /** The endpoint daemon hands over when the reply to its start was lost. */
    HandOverWhenUnknown,
    /** The endpoint daemon hands over without moving the claim. */
    SkipStart,
    /** The entry daemon reports work as not run when contact was lost. */
    CallLostNotRun,
};

const char *const claimKey = "claim/mill-a/wo-1";

/** Callers, entry daemons, endpoint daemons and a service in virtual time, all working on one idempotency key. */
class World
{
public:
    struct CallRecord
    {
        std::set<AttemptId> attempts;
        bool isAnswered = false;
        std::string answer;
        std::optional<ErrorKind> failure;
    };

    Schedule m_schedule;
    FaultyTable<ClaimRow> m_table;
    Defect m_defect;
    std::vector<AttemptId> m_runs;
    std::vector<std::shared_ptr<CallRecord>> m_calls;
    std::int64_t m_lastId = 0;

    World(std::uint64_t seed, Defect defect)
        : m_schedule(seed)
        , m_table(m_schedule, {})
        , m_defect(defect)
    {
    }

    AttemptId nextId()
    {
        return AttemptId{1, ++m_lastId};
    }
};

/** One attempt at an endpoint daemon, which may be paused at any step. */
class EndpointActor : public std::enable_shared_from_this<EndpointActor>
{
public:
    using Refused = std::function<void(ErrorKind)>;
    using Answered = std::function<void(std::string)>;

private:
    World &m_world;
    AttemptId m_attempt;
    StartGate m_gate;
    Refused m_refused;
    Answered m_answered;

    /** Each step may come late, as the process may be paused before it. */
    void later(const std::function<void()> &step)
    {
        const bool isPaused = m_world.m_schedule.chance(0.1);
        const Duration pause = isPaused ? m_world.m_schedule.pickDuration(std::chrono::seconds(1), std::chrono::seconds(8)) : Duration(50);
        const std::shared_ptr<EndpointActor> self = shared_from_this();
        m_world.m_schedule.after(pause, [self, step]() {
            step();
        });
    }

    void handOver()
    {
        later([this]() {
            m_world.m_runs.push_back(m_attempt);
            if (m_world.m_schedule.chance(0.1)) {
                m_gate.workLost();
                return;
            }
            const std::string answer = "answer to " + m_attempt.toString();
            later([this, answer]() {
                m_answered(answer);
                act(m_gate.workAnswered(201, "application/json", answer, m_world.m_schedule.now()));
            });
        });
    }

    void act(const StartGate::Action &action)
    {
        if (const StartGate::WriteRow *write = std::get_if<StartGate::WriteRow>(&action)) {
            const StartGate::WriteRow copy = *write;
            later([this, copy]() {
                m_world.m_table.write(claimKey, copy.expectedRevision, copy.row,
                                      [this, self = shared_from_this()](TableOutcome outcome, auto row) {
                                          if (outcome == TableOutcome::Unknown && m_world.m_defect == Defect::HandOverWhenUnknown) {
                                              handOver();
                                              return;
                                          }
                                          act(m_gate.writeEnded(outcome, StoredClaim{row.revision, row.value}, m_world.m_schedule.now()));
                                      });
            });
        } else if (std::holds_alternative<StartGate::ReadRow>(action)) {
            m_world.m_table.read(claimKey, [this, self = shared_from_this()](auto row) {
                const std::optional<StoredClaim> stored = row ? std::optional<StoredClaim>({row->revision, row->value}) : std::nullopt;
                act(m_gate.readEnded(stored, m_world.m_schedule.now()));
            });
        } else if (std::holds_alternative<StartGate::HandOver>(action)) {
            handOver();
        } else if (const StartGate::Refuse *refuse = std::get_if<StartGate::Refuse>(&action)) {
            m_refused(refuse->kind);
        }
    }

public:
    EndpointActor(World &world, AttemptId attempt, std::int64_t revision, Refused refused, Answered answered)
        : m_world(world)
        , m_attempt(attempt)
        , m_gate(StartGate::Settings(), attempt, 7, revision, world.nextId())
        , m_refused(std::move(refused))
        , m_answered(std::move(answered))
    {
    }

    void start()
    {
        if (m_world.m_defect == Defect::SkipStart || m_world.m_defect == Defect::ResendWhenLost) {
            handOver();
            return;
        }
        if (m_world.m_schedule.chance(0.1)) {
            // Refused before the gate, as at a leaving endpoint.
            m_refused(ErrorKind::EndpointLeaving);
            return;
        }
        act(m_gate.start(m_world.m_schedule.now()));
    }
};

/** One call at an entry daemon, which may be killed at any step. */
class EntryActor : public std::enable_shared_from_this<EntryActor>
{
private:
    World &m_world;
    ClaimFlow m_flow;
    std::shared_ptr<World::CallRecord> m_record = std::make_shared<World::CallRecord>();
    bool m_isKilled = false;

    void dispatch(AttemptId attempt, std::int64_t revision)
    {
        m_record->attempts.insert(attempt);
        const std::shared_ptr<EntryActor> self = shared_from_this();
        Schedule &schedule = m_world.m_schedule;
        const std::shared_ptr<EndpointActor> endpoint = std::make_shared<EndpointActor>(
            m_world, attempt, revision,
            [self, attempt](ErrorKind kind) {
                self->deliver([self, attempt, kind]() {
                    self->act(self->m_flow.dispatchRefused(attempt, kind, self->m_world.m_schedule.now()));
                });
            },
            [self, attempt](const std::string &answer) {
                self->deliver([self, attempt, answer]() {
                    if (attempt == self->m_flow.attempt() && !self->m_flow.isFinished()) {
                        self->m_flow.answered(attempt);
                        self->m_record->isAnswered = true;
                        self->m_record->answer = answer;
                    }
                });
            });
        if (!schedule.chance(0.05)) {
            schedule.after(schedule.pickDuration(Duration(500), std::chrono::milliseconds(5)), [endpoint]() {
                endpoint->start();
            });
        }
        schedule.after(schedule.pickDuration(std::chrono::milliseconds(200), std::chrono::seconds(3)), [self, attempt]() {
            self->lose(attempt);
        });
    }

    /** Contact is lost, so the entry daemon gives the attempt up. */
    void lose(AttemptId attempt)
    {
        if (m_isKilled || m_flow.isFinished() || attempt != m_flow.attempt()) {
            return;
        }
        if (m_world.m_defect == Defect::ResendWhenLost) {
            dispatch(attempt, 0);
            return;
        }
        if (m_world.m_defect == Defect::CallLostNotRun) {
            m_record->failure = ErrorKind::AttemptAbandoned;
            m_flow.answered(attempt);
            return;
        }
        act(m_flow.dispatchLost(attempt, m_world.m_schedule.now()));
    }

    void deliver(const std::function<void()> &message)
    {
        if (m_world.m_schedule.chance(0.1)) {
            return;
        }
        const std::shared_ptr<EntryActor> self = shared_from_this();
        m_world.m_schedule.after(m_world.m_schedule.pickDuration(Duration(500), std::chrono::milliseconds(5)), [self, message]() {
            if (!self->m_isKilled) {
                message();
            }
        });
    }

    void act(const ClaimFlow::Action &action)
    {
        if (m_isKilled) {
            return;
        }
        if (m_world.m_schedule.chance(0.02)) {
            m_isKilled = true;
            return;
        }
        const std::shared_ptr<EntryActor> self = shared_from_this();
        if (const ClaimFlow::WriteRow *write = std::get_if<ClaimFlow::WriteRow>(&action)) {
            m_world.m_table.write(claimKey, write->expectedRevision, write->row, [self](TableOutcome outcome, auto row) {
                if (!self->m_isKilled) {
                    self->act(self->m_flow.writeEnded(outcome, StoredClaim{row.revision, row.value}, self->m_world.m_schedule.now()));
                }
            });
        } else if (const ClaimFlow::ReadRow *read = std::get_if<ClaimFlow::ReadRow>(&action)) {
            m_world.m_schedule.after(read->pause, [self]() {
                self->m_world.m_table.read(claimKey, [self](auto row) {
                    const std::optional<StoredClaim> stored = row ? std::optional<StoredClaim>({row->revision, row->value}) : std::nullopt;
                    if (!self->m_isKilled) {
                        self->act(self->m_flow.readEnded(stored, self->m_world.m_schedule.now()));
                    }
                });
            });
        } else if (const ClaimFlow::DispatchWork *work = std::get_if<ClaimFlow::DispatchWork>(&action)) {
            dispatch(work->attempt, work->claimRevision);
        } else if (const ClaimFlow::AnswerStored *stored = std::get_if<ClaimFlow::AnswerStored>(&action)) {
            m_record->isAnswered = true;
            m_record->answer = stored->answer;
        } else if (const ClaimFlow::Fail *failure = std::get_if<ClaimFlow::Fail>(&action)) {
            m_record->failure = failure->kind;
        }
    }

public:
    explicit EntryActor(World &world)
        : m_world(world)
        , m_flow(
              ClaimFlow::Settings(),
              [&world]() {
                  return world.nextId();
              },
              7, world.m_schedule.now() + std::chrono::seconds(15))
    {
        world.m_calls.push_back(m_record);
    }

    void start()
    {
        act(m_flow.start(m_world.m_schedule.now()));
    }
};

struct Verdict
{
    bool isHolding = true;
    std::size_t answered = 0;
    std::size_t calls = 0;
};

Verdict runWorld(std::uint64_t seed, Defect defect)
{
    World world(seed, defect);
    Schedule &schedule = world.m_schedule;
    const std::int64_t repeats = schedule.pick(1, 4);
    for (std::int64_t i = 0; i < repeats; ++i) {
        schedule.after(schedule.pickDuration(Duration(0), std::chrono::seconds(6)), [&world]() {
            std::make_shared<EntryActor>(world)->start();
        });
    }
    if (schedule.chance(0.5)) {
        const Duration start = schedule.pickDuration(Duration(0), std::chrono::seconds(8));
        schedule.after(start, [&world]() {
            world.m_table.setDown(true);
        });
        schedule.after(start + schedule.pickDuration(std::chrono::seconds(1), std::chrono::seconds(30)), [&world]() {
            world.m_table.setDown(false);
        });
    }
    schedule.run(std::chrono::minutes(15));
    Verdict verdict;
    verdict.isHolding = world.m_runs.size() <= 1;
    for (const std::shared_ptr<World::CallRecord> &call : world.m_calls) {
        verdict.calls += 1;
        verdict.answered += call->isAnswered ? 1 : 0;
        const bool isWrongAnswer
            = call->isAnswered && (world.m_runs.empty() || call->answer != "answer to " + world.m_runs.front().toString());
        const bool saysNotRun = call->failure.has_value() && errorAnswer(*call->failure).runState == RunState::NotRun;
        const bool hasRun = !world.m_runs.empty() && call->attempts.count(world.m_runs.front()) > 0;
        if (isWrongAnswer || (saysNotRun && hasRun)) {
            verdict.isHolding = false;
        }
    }
    return verdict;
}

bool isHolding(std::uint64_t seed, Defect defect)
{
    return runWorld(seed, defect).isHolding;
}

}

TEST_CASE("[AtMostOnce] Work runs at most once and a refusal that says not run is true")
{
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [](std::uint64_t seed) {
        return isHolding(seed, Defect::None);
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
}

TEST_CASE("[AtMostOnce] Most calls get their answer in spite of the faults")
{
    std::size_t answered = 0;
    std::size_t calls = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const Verdict verdict = runWorld(seed, Defect::None);
        answered += verdict.answered;
        calls += verdict.calls;
    }
    CHECK(answered * 2 > calls);
}

TEST_CASE("[AtMostOnce] The checker notices each broken version")
{
    const Defect defect = GENERATE(Defect::ResendWhenLost, Defect::HandOverWhenUnknown, Defect::SkipStart, Defect::CallLostNotRun);
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [defect](std::uint64_t seed) {
        return isHolding(seed, defect);
    });
    INFO("defect " << static_cast<int>(defect));
    CHECK(failing != 0);
}
