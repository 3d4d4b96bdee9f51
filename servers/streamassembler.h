#pragma once

#include "core/attemptid.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Puts the deltas of one answer in order. It passes each index on once and
 * only after all before it, takes deltas from the current attempt alone, and
 * calls the stream complete only when the engine ended it and nothing is
 * missing. A new attempt goes on at the next index.
 */
class StreamAssembler
{
public:
    enum class State {
        Open,
        Complete,
        Broken,
    };

private:
    AttemptId m_attempt;
    std::int64_t m_nextIndex = 0;
    std::int64_t m_endCount = -1;
    std::map<std::int64_t, std::string> m_early;
    std::size_t m_maxEarly;
    State m_state = State::Open;

    std::vector<std::string> takeContiguous();

public:
    /** @param maxEarly how many deltas may wait for an earlier one before the stream counts as broken */
    explicit StreamAssembler(std::size_t maxEarly);

    /** From now on only deltas of @p attempt are taken; its first index is nextIndex(). */
    void beginAttempt(AttemptId attempt);

    /** Takes in a delta; returns what can be passed on, in order. */
    std::vector<std::string> add(AttemptId attempt, std::int64_t index, const std::string &data);

    /** The attempt ended after @p count deltas, counted from index 0 of the answer. */
    void end(AttemptId attempt, std::int64_t count);

    /** The attempt broke off. */
    void fail(AttemptId attempt);

    State state() const;
    std::int64_t nextIndex() const;
};

}
