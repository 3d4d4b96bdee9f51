#pragma once

#include "core/attemptid.h"

#include <cstdint>
#include <string>

namespace citronspar
{

/** How far the work behind an idempotency key has come. */
enum class ClaimState {
    /** An entry daemon holds the claim; the work has not been handed over. */
    Claimed,
    /** An endpoint daemon may have handed the work over. */
    Started,
    /** The answer is stored. */
    Done,
    /** The attempt was ended before it was handed over, and never will be. */
    Abandoned,
};

/** The row of the table service for one idempotency key of one client account. */
struct ClaimRow
{
    AttemptId attempt;
    std::uint64_t digest = 0;
    ClaimState state = ClaimState::Claimed;
    /** Drawn by the endpoint daemon, so that it knows its own write when the reply was lost. */
    AttemptId startMark;
    int status = 0;
    std::string contentType;
    std::string answer;
};

/** A row with the revision under which the table holds it; revision 0 means that there is no row. */
struct StoredClaim
{
    std::int64_t revision = 0;
    ClaimRow row;
};

/** What became of a write to the table. */
enum class TableOutcome {
    Committed,
    /** Another write came first; the current row is given. */
    Conflict,
    /** No reply: the write may have taken effect or may still do so. */
    Unknown,
};

}
