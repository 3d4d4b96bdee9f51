#include "servers/streamassembler.h"
#include "tests/fakes/schedule.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

/** The naive version passes deltas on as they come and trusts every end. */
enum class Version {
    Real,
    Naive,
};

/** The engine's text depends on the index alone, so any engine can go on with it. */
std::string textAt(std::int64_t index)
{
    return "t" + std::to_string(index) + " ";
}

/** An engine that may crash, a network that doubles, delays and crosses deltas, and a caller. */
class World
{
private:
    Schedule m_schedule;
    Version m_version;
    StreamAssembler m_assembler{1024};
    std::int64_t m_length;
    std::int64_t m_attempts = 0;
    std::string m_delivered;
    bool m_isNaiveEnd = false;

    void arrive(AttemptId attempt, std::int64_t index, const std::string &data)
    {
        if (m_version == Version::Naive) {
            m_delivered += data;
            return;
        }
        for (const std::string &ready : m_assembler.add(attempt, index, data)) {
            m_delivered += ready;
        }
    }

    void sendDelta(AttemptId attempt, std::int64_t index)
    {
        const int copies = m_schedule.chance(0.1) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            m_schedule.after(m_schedule.pickDuration(Duration(100), std::chrono::milliseconds(40)), [this, attempt, index]() {
                arrive(attempt, index, textAt(index));
            });
        }
        // A delta of another request, crossed by mistake.
        if (m_schedule.chance(0.05)) {
            m_schedule.after(Duration(200), [this, index]() {
                arrive(AttemptId{99, 99}, index, "wrong ");
            });
        }
    }

    void runAttempt()
    {
        const AttemptId attempt{1, ++m_attempts};
        m_assembler.beginAttempt(attempt);
        const std::int64_t first = m_assembler.nextIndex();
        const bool isCrashing = m_schedule.chance(0.5);
        const std::int64_t last = isCrashing ? m_schedule.pick(first, m_length) : m_length;
        for (std::int64_t index = first; index < last; ++index) {
            m_schedule.after(std::chrono::milliseconds(2) * (index - first), [this, attempt, index]() {
                sendDelta(attempt, index);
            });
        }
        m_schedule.after(std::chrono::milliseconds(2) * (last - first)
                             + m_schedule.pickDuration(Duration(0), std::chrono::milliseconds(60)),
                         [this, attempt, isCrashing]() {
                             endAttempt(attempt, isCrashing);
                         });
    }

    void endAttempt(AttemptId attempt, bool isCrashing)
    {
        m_isNaiveEnd = m_isNaiveEnd || !isCrashing;
        if (!isCrashing) {
            m_assembler.end(attempt, m_length);
            return;
        }
        m_assembler.fail(attempt);
        if (m_attempts < 3) {
            m_schedule.after(std::chrono::milliseconds(10), [this]() {
                runAttempt();
            });
        }
    }

public:
    World(std::uint64_t seed, Version version)
        : m_schedule(seed)
        , m_version(version)
        , m_length(m_schedule.pick(1, 60))
    {
    }

    /** Whether the caller got a correct prefix, and a whole answer if it was told so. */
    bool isCorrect()
    {
        runAttempt();
        m_schedule.run(std::chrono::seconds(10));
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

TEST_CASE("[StreamAssembler] What a caller gets is a prefix of the answer, and whole when it is called complete")
{
    const std::uint64_t failing = findFailingSeed(Seeds(2000), [](std::uint64_t seed) {
        return World(seed, Version::Real).isCorrect();
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
}

TEST_CASE("[StreamAssembler] The checker notices the naive version")
{
    CHECK(findFailingSeed(Seeds(50),
                          [](std::uint64_t seed) {
                              return World(seed, Version::Naive).isCorrect();
                          })
          != 0);
}

TEST_CASE("[StreamAssembler] An end that counts fewer deltas than arrived breaks the stream")
{
    StreamAssembler assembler(4);
    assembler.beginAttempt({1, 1});
    assembler.add({1, 1}, 0, "a");
    assembler.add({1, 1}, 1, "b");
    assembler.end({1, 1}, 1);
    CHECK(assembler.state() == StreamAssembler::State::Broken);
}

TEST_CASE("[StreamAssembler] Too many early deltas break the stream, so that memory is bounded")
{
    StreamAssembler assembler(4);
    assembler.beginAttempt({1, 1});
    for (std::int64_t index = 1; index <= 5; ++index) {
        assembler.add({1, 1}, index, "x");
    }
    CHECK(assembler.state() == StreamAssembler::State::Broken);
}
