#include "servers/streamassembler.h"
#include "tests/fakes/eventscheduler.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

/** The naive version delivers deltas in the order of arrival and treats every end as complete. */
enum class Version {
    Real,
    Naive,
};

/** The text of a delta depends only on its index, so any engine can resume the answer. */
std::string textAt(std::int64_t index)
{
    return "t" + std::to_string(index) + " ";
}

/** Simulates an engine that may crash, a network that duplicates, delays and misroutes deltas, and a caller. */
class Simulation
{
private:
    EventScheduler m_scheduler;
    Version m_version;
    StreamAssembler m_assembler{1024};
    std::int64_t m_length;
    std::int64_t m_attempts = 0;
    std::string m_delivered;
    bool m_isNaiveEnd = false;

    void receive(AttemptId attempt, std::int64_t index, const std::string &data)
    {
        if (m_version == Version::Naive) {
            m_delivered += data;
            return;
        }
        for (const std::string &contiguous : m_assembler.add(attempt, index, data)) {
            m_delivered += contiguous;
        }
    }

    void sendDelta(AttemptId attempt, std::int64_t index)
    {
        const int copies = m_scheduler.randomBool(0.1) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            m_scheduler.scheduleAfter(m_scheduler.randomDuration(Duration(100), std::chrono::milliseconds(40)), [this, attempt, index]() {
                receive(attempt, index, textAt(index));
            });
        }
        // A misrouted delta of another request.
        if (m_scheduler.randomBool(0.05)) {
            m_scheduler.scheduleAfter(Duration(200), [this, index]() {
                receive(AttemptId{99, 99}, index, "wrong ");
            });
        }
    }

    void runAttempt()
    {
        const AttemptId attempt{1, ++m_attempts};
        m_assembler.beginAttempt(attempt);
        const std::int64_t first = m_assembler.nextIndex();
        const bool hasCrashed = m_scheduler.randomBool(0.5);
        const std::int64_t last = hasCrashed ? m_scheduler.randomInteger(first, m_length) : m_length;
        for (std::int64_t index = first; index < last; ++index) {
            m_scheduler.scheduleAfter(std::chrono::milliseconds(2) * (index - first), [this, attempt, index]() {
                sendDelta(attempt, index);
            });
        }
        m_scheduler.scheduleAfter(std::chrono::milliseconds(2) * (last - first)
                                      + m_scheduler.randomDuration(Duration(0), std::chrono::milliseconds(60)),
                                  [this, attempt, hasCrashed]() {
                                      endAttempt(attempt, hasCrashed);
                                  });
    }

    void endAttempt(AttemptId attempt, bool hasCrashed)
    {
        m_isNaiveEnd = m_isNaiveEnd || !hasCrashed;
        if (!hasCrashed) {
            m_assembler.end(attempt, m_length);
            return;
        }
        m_assembler.fail(attempt);
        if (m_attempts < 3) {
            m_scheduler.scheduleAfter(std::chrono::milliseconds(10), [this]() {
                runAttempt();
            });
        }
    }

public:
    Simulation(std::uint64_t seed, Version version)
        : m_scheduler(seed)
        , m_version(version)
        , m_length(m_scheduler.randomInteger(1, 60))
    {
    }

    /** Whether the caller received a correct prefix, and the whole answer if it was reported as complete. */
    bool isCorrect()
    {
        runAttempt();
        m_scheduler.runFor(std::chrono::seconds(10));
        std::string whole;
        for (std::int64_t index = 0; index < m_length; ++index) {
            whole += textAt(index);
        }
        const bool isComplete = m_version == Version::Naive ? m_isNaiveEnd : m_assembler.state() == StreamAssembler::State::Complete;
        const bool isPrefix = whole.compare(0, m_delivered.size(), m_delivered) == 0;
        return isPrefix && (!isComplete || m_delivered == whole);
    }
};

}

TEST_CASE("[StreamAssembler] A caller receives a prefix of the answer, and the whole answer if it is reported as complete")
{
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [](std::uint64_t seed) {
        return Simulation(seed, Version::Real).isCorrect();
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
}

TEST_CASE("[StreamAssembler] The checker detects the naive version")
{
    CHECK(findFailingSeed(Seeds(50),
                          [](std::uint64_t seed) {
                              return Simulation(seed, Version::Naive).isCorrect();
                          })
          != 0);
}

TEST_CASE("[StreamAssembler] An end with a lower count than the received deltas breaks the stream")
{
    StreamAssembler assembler(4);
    assembler.beginAttempt({1, 1});
    assembler.add({1, 1}, 0, "a");
    assembler.add({1, 1}, 1, "b");
    assembler.end({1, 1}, 1);
    CHECK(assembler.state() == StreamAssembler::State::Broken);
}

TEST_CASE("[StreamAssembler] Too many out-of-order deltas break the stream, so that memory use is bounded")
{
    StreamAssembler assembler(4);
    assembler.beginAttempt({1, 1});
    for (std::int64_t index = 1; index <= 5; ++index) {
        assembler.add({1, 1}, index, "x");
    }
    CHECK(assembler.state() == StreamAssembler::State::Broken);
}
