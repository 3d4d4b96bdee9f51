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

/** Defects that are injected into the mechanism; the checker must detect each of them. */
enum class Defect {
    None,
    /** Naive version: the endpoint daemon ignores the claim, and the entry daemon sends work again after the connection was lost. */
    ResendWhenLost,
    /** The endpoint daemon forwards the work although the reply to its write of Started was lost. */
    ForwardWhenUnknown,
    /** The endpoint daemon forwards the work without moving the claim to Started. */
    SkipStartedWrite,
    /** The entry daemon reports work as not run after the connection to the endpoint daemon was lost. */
    ReportLostAsNotRun,
};

const char *const claimKey = "claim/mill-a/wo-1";

/** Simulation in virtual time of callers, entry daemons, endpoint daemons and a service that all use one idempotency key. */
class Simulation
{
public:
    struct CallRecord
    {
        std::set<AttemptId> attempts;
        bool isAnswered = false;
        std::string answer;
        std::optional<ErrorKind> failure;
    };

    EventScheduler m_scheduler;
    FaultyTable<ClaimRow> m_table;
    Defect m_defect;
    std::vector<AttemptId> m_runs;
    std::vector<std::shared_ptr<CallRecord>> m_calls;
    std::int64_t m_lastId = 0;

    Simulation(std::uint64_t seed, Defect defect)
        : m_scheduler(seed)
        , m_table(m_scheduler, {})
        , m_defect(defect)
    {
    }

    AttemptId nextId()
    {
        return AttemptId{1, ++m_lastId};
    }
};

/** One attempt at an endpoint daemon, whose process may be paused before any step. */
class EndpointActor : public std::enable_shared_from_this<EndpointActor>
{
public:
    using OnRefused = std::function<void(ErrorKind)>;
    using OnAnswered = std::function<void(std::string)>;

private:
    Simulation &m_simulation;
    AttemptId m_attempt;
    StartGate m_gate;
    OnRefused m_onRefused;
    OnAnswered m_onAnswered;

    /** Schedules @p step, with a long delay if the process is paused before it. */
    void scheduleStep(const std::function<void()> &step)
    {
        const bool isPaused = m_simulation.m_scheduler.randomBool(0.1);
        const Duration pause
            = isPaused ? m_simulation.m_scheduler.randomDuration(std::chrono::seconds(1), std::chrono::seconds(8)) : Duration(50);
        const std::shared_ptr<EndpointActor> self = shared_from_this();
        m_simulation.m_scheduler.scheduleAfter(pause, [self, step]() {
            step();
        });
    }

    void forwardWork()
    {
        scheduleStep([this]() {
            m_simulation.m_runs.push_back(m_attempt);
            if (m_simulation.m_scheduler.randomBool(0.1)) {
                m_gate.handleWorkLoss();
                return;
            }
            const std::string answer = "answer to " + m_attempt.toString();
            scheduleStep([this, answer]() {
                m_onAnswered(answer);
                act(m_gate.handleWorkAnswer(201, "application/json", answer, m_simulation.m_scheduler.now()));
            });
        });
    }

    void act(const StartGate::Action &action)
    {
        if (const StartGate::WriteRow *write = std::get_if<StartGate::WriteRow>(&action)) {
            const StartGate::WriteRow copy = *write;
            scheduleStep([this, copy]() {
                m_simulation.m_table.write(
                    claimKey, copy.expectedRevision, copy.row, [this, self = shared_from_this()](TableOutcome outcome, auto row) {
                        if (outcome == TableOutcome::Unknown && m_simulation.m_defect == Defect::ForwardWhenUnknown) {
                            forwardWork();
                            return;
                        }
                        act(m_gate.handleWriteResult(outcome, StoredClaim{row.revision, row.value}, m_simulation.m_scheduler.now()));
                    });
            });
        } else if (std::holds_alternative<StartGate::ReadRow>(action)) {
            m_simulation.m_table.read(claimKey, [this, self = shared_from_this()](auto row) {
                const std::optional<StoredClaim> stored = row ? std::optional<StoredClaim>({row->revision, row->value}) : std::nullopt;
                act(m_gate.handleReadResult(stored, m_simulation.m_scheduler.now()));
            });
        } else if (std::holds_alternative<StartGate::ForwardWork>(action)) {
            forwardWork();
        } else if (const StartGate::Refuse *refuse = std::get_if<StartGate::Refuse>(&action)) {
            m_onRefused(refuse->kind);
        }
    }

public:
    EndpointActor(Simulation &simulation, AttemptId attempt, std::int64_t revision, OnRefused onRefused, OnAnswered onAnswered)
        : m_simulation(simulation)
        , m_attempt(attempt)
        , m_gate(StartGate::Settings(), attempt, 7, revision, simulation.nextId())
        , m_onRefused(std::move(onRefused))
        , m_onAnswered(std::move(onAnswered))
    {
    }

    void start()
    {
        if (m_simulation.m_defect == Defect::SkipStartedWrite || m_simulation.m_defect == Defect::ResendWhenLost) {
            forwardWork();
            return;
        }
        if (m_simulation.m_scheduler.randomBool(0.1)) {
            // Refused before the claim is moved to Started, as by an endpoint that shuts down.
            m_onRefused(ErrorKind::EndpointLeaving);
            return;
        }
        act(m_gate.start(m_simulation.m_scheduler.now()));
    }
};

/** One call at an entry daemon, whose process may be killed before any action. */
class EntryActor : public std::enable_shared_from_this<EntryActor>
{
private:
    Simulation &m_simulation;
    ClaimFlow m_flow;
    std::shared_ptr<Simulation::CallRecord> m_record = std::make_shared<Simulation::CallRecord>();
    bool m_isKilled = false;

    void dispatch(AttemptId attempt, std::int64_t revision)
    {
        m_record->attempts.insert(attempt);
        const std::shared_ptr<EntryActor> self = shared_from_this();
        EventScheduler &scheduler = m_simulation.m_scheduler;
        const std::shared_ptr<EndpointActor> endpoint = std::make_shared<EndpointActor>(
            m_simulation, attempt, revision,
            [self, attempt](ErrorKind kind) {
                self->deliver([self, attempt, kind]() {
                    self->act(self->m_flow.handleDispatchRefusal(attempt, kind, self->m_simulation.m_scheduler.now()));
                });
            },
            [self, attempt](const std::string &answer) {
                self->deliver([self, attempt, answer]() {
                    if (attempt == self->m_flow.attempt() && !self->m_flow.isFinished()) {
                        self->m_flow.handleAnswer(attempt);
                        self->m_record->isAnswered = true;
                        self->m_record->answer = answer;
                    }
                });
            });
        if (!scheduler.randomBool(0.05)) {
            scheduler.scheduleAfter(scheduler.randomDuration(Duration(500), std::chrono::milliseconds(5)), [endpoint]() {
                endpoint->start();
            });
        }
        scheduler.scheduleAfter(scheduler.randomDuration(std::chrono::milliseconds(200), std::chrono::seconds(3)), [self, attempt]() {
            self->loseConnection(attempt);
        });
    }

    /** The connection to the endpoint daemon is lost, so the entry daemon abandons the attempt. */
    void loseConnection(AttemptId attempt)
    {
        if (m_isKilled || m_flow.isFinished() || attempt != m_flow.attempt()) {
            return;
        }
        if (m_simulation.m_defect == Defect::ResendWhenLost) {
            dispatch(attempt, 0);
            return;
        }
        if (m_simulation.m_defect == Defect::ReportLostAsNotRun) {
            m_record->failure = ErrorKind::AttemptAbandoned;
            m_flow.handleAnswer(attempt);
            return;
        }
        act(m_flow.handleDispatchLoss(attempt, m_simulation.m_scheduler.now()));
    }

    /** Delivers a message of the endpoint daemon with a random delay, or loses it. */
    void deliver(const std::function<void()> &message)
    {
        if (m_simulation.m_scheduler.randomBool(0.1)) {
            return;
        }
        const std::shared_ptr<EntryActor> self = shared_from_this();
        m_simulation.m_scheduler.scheduleAfter(m_simulation.m_scheduler.randomDuration(Duration(500), std::chrono::milliseconds(5)),
                                               [self, message]() {
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
        if (m_simulation.m_scheduler.randomBool(0.02)) {
            m_isKilled = true;
            return;
        }
        const std::shared_ptr<EntryActor> self = shared_from_this();
        if (const ClaimFlow::WriteRow *write = std::get_if<ClaimFlow::WriteRow>(&action)) {
            m_simulation.m_table.write(claimKey, write->expectedRevision, write->row, [self](TableOutcome outcome, auto row) {
                if (!self->m_isKilled) {
                    self->act(self->m_flow.handleWriteResult(outcome, StoredClaim{row.revision, row.value},
                                                             self->m_simulation.m_scheduler.now()));
                }
            });
        } else if (const ClaimFlow::ReadRow *read = std::get_if<ClaimFlow::ReadRow>(&action)) {
            m_simulation.m_scheduler.scheduleAfter(read->pause, [self]() {
                self->m_simulation.m_table.read(claimKey, [self](auto row) {
                    const std::optional<StoredClaim> stored = row ? std::optional<StoredClaim>({row->revision, row->value}) : std::nullopt;
                    if (!self->m_isKilled) {
                        self->act(self->m_flow.handleReadResult(stored, self->m_simulation.m_scheduler.now()));
                    }
                });
            });
        } else if (const ClaimFlow::DispatchWork *work = std::get_if<ClaimFlow::DispatchWork>(&action)) {
            dispatch(work->attempt, work->claimRevision);
        } else if (const ClaimFlow::ReturnStoredAnswer *stored = std::get_if<ClaimFlow::ReturnStoredAnswer>(&action)) {
            m_record->isAnswered = true;
            m_record->answer = stored->answer;
        } else if (const ClaimFlow::Fail *failure = std::get_if<ClaimFlow::Fail>(&action)) {
            m_record->failure = failure->kind;
        }
    }

public:
    explicit EntryActor(Simulation &simulation)
        : m_simulation(simulation)
        , m_flow(
              ClaimFlow::Settings(),
              [&simulation]() {
                  return simulation.nextId();
              },
              7, simulation.m_scheduler.now() + std::chrono::seconds(15))
    {
        simulation.m_calls.push_back(m_record);
    }

    void start()
    {
        act(m_flow.start(m_simulation.m_scheduler.now()));
    }
};

struct RunResult
{
    bool invariantsHold = true;
    std::size_t answered = 0;
    std::size_t calls = 0;
};

RunResult runSimulation(std::uint64_t seed, Defect defect)
{
    Simulation simulation(seed, defect);
    EventScheduler &scheduler = simulation.m_scheduler;
    const std::int64_t repeats = scheduler.randomInteger(1, 4);
    for (std::int64_t i = 0; i < repeats; ++i) {
        scheduler.scheduleAfter(scheduler.randomDuration(Duration(0), std::chrono::seconds(6)), [&simulation]() {
            std::make_shared<EntryActor>(simulation)->start();
        });
    }
    if (scheduler.randomBool(0.5)) {
        const Duration start = scheduler.randomDuration(Duration(0), std::chrono::seconds(8));
        scheduler.scheduleAfter(start, [&simulation]() {
            simulation.m_table.setDown(true);
        });
        scheduler.scheduleAfter(start + scheduler.randomDuration(std::chrono::seconds(1), std::chrono::seconds(30)), [&simulation]() {
            simulation.m_table.setDown(false);
        });
    }
    scheduler.runFor(std::chrono::minutes(15));
    RunResult result;
    result.invariantsHold = simulation.m_runs.size() <= 1;
    for (const std::shared_ptr<Simulation::CallRecord> &call : simulation.m_calls) {
        result.calls += 1;
        result.answered += call->isAnswered ? 1 : 0;
        const bool isWrongAnswer
            = call->isAnswered && (simulation.m_runs.empty() || call->answer != "answer to " + simulation.m_runs.front().toString());
        const bool isReportedNotRun = call->failure.has_value() && errorResponse(*call->failure).runState == RunState::NotRun;
        const bool hasRun = !simulation.m_runs.empty() && call->attempts.count(simulation.m_runs.front()) > 0;
        if (isWrongAnswer || (isReportedNotRun && hasRun)) {
            result.invariantsHold = false;
        }
    }
    return result;
}

bool invariantsHold(std::uint64_t seed, Defect defect)
{
    return runSimulation(seed, defect).invariantsHold;
}

}

TEST_CASE("[AtMostOnce] Work runs at most once, and no work that ran is reported as not run")
{
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [](std::uint64_t seed) {
        return invariantsHold(seed, Defect::None);
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
}

TEST_CASE("[AtMostOnce] Most calls are answered despite the injected faults")
{
    std::size_t answered = 0;
    std::size_t calls = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const RunResult result = runSimulation(seed, Defect::None);
        answered += result.answered;
        calls += result.calls;
    }
    CHECK(answered * 2 > calls);
}

TEST_CASE("[AtMostOnce] The checker detects each injected defect")
{
    const Defect defect
        = GENERATE(Defect::ResendWhenLost, Defect::ForwardWhenUnknown, Defect::SkipStartedWrite, Defect::ReportLostAsNotRun);
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [defect](std::uint64_t seed) {
        return invariantsHold(seed, defect);
    });
    INFO("defect " << static_cast<int>(defect));
    CHECK(failing != 0);
}
