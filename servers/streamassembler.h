#pragma once

#include "core/attemptid.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Reorders the deltas of one answer. Returns each index once, after all lower
 * indices, and drops deltas of attempts other than the current one. The stream
 * is complete only when the engine ended it and no delta is missing. A new
 * attempt resumes at the next index.
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
    std::map<std::int64_t, std::string> m_outOfOrder;
    std::size_t m_maxOutOfOrder;
    State m_state = State::Open;

    std::vector<std::string> takeContiguous();

public:
    /** @param maxOutOfOrder maximum number of deltas buffered for a missing lower index; the stream is broken if it is exceeded */
    explicit StreamAssembler(std::size_t maxOutOfOrder);

    /** Starts @p attempt: only its deltas are accepted, beginning at nextIndex(). */
    void beginAttempt(AttemptId attempt);

    /** Adds a delta; returns the deltas that are now contiguous, in order. */
    std::vector<std::string> add(AttemptId attempt, std::int64_t index, const std::string &data);

    /** The engine ended the answer of @p attempt after @p count deltas, counted from index 0 of the answer. */
    void end(AttemptId attempt, std::int64_t count);

    /** The connection of @p attempt was lost before its end. */
    void fail(AttemptId attempt);

    State state() const;
    std::int64_t nextIndex() const;
};

}
