#pragma once

#include "core/attemptid.h"

#include <cstdint>
#include <string>

namespace citronspar
{

/** Progress of the work for one idempotency key. */
enum class ClaimState {
    /** An entry daemon holds the claim; the work has not been forwarded to an endpoint. */
    Claimed,
    /** An endpoint daemon may have forwarded the work to its endpoint. */
    Started,
    /** The work has completed and its answer is stored in the row. */
    Done,
    /** The attempt ended before its work was forwarded, and the work will not be forwarded later. */
    Abandoned,
};

/** Row in the table service for one idempotency key of one client account. */
struct ClaimRow
{
    AttemptId attempt;
    std::uint64_t digest = 0;
    ClaimState state = ClaimState::Claimed;
    /** Random id set by the endpoint daemon, so that it can recognize its own write after the reply was lost. */
    AttemptId startMark;
    int status = 0;
    std::string contentType;
    std::string answer;
};

/** A row and its revision in the table; revision 0 means that the row does not exist. */
struct StoredClaim
{
    std::int64_t revision = 0;
    ClaimRow row;
};

/** Result of a write to the table. */
enum class TableOutcome {
    Committed,
    /** The row was changed by another write in the meantime; the current row is returned. */
    Conflict,
    /** No reply was received: the write may have been applied, or may still be applied later. */
    Unknown,
};

}
