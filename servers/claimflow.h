#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "servers/claimrow.h"

#include <functional>
#include <optional>
#include <variant>

namespace citronspar
{

/**
 * State machine of the entry daemon for at-most-once execution of a request.
 *
 * The claim row is written to the table before the request is dispatched. Only
 * an endpoint daemon moves it to Started, with a compare-and-set on the
 * attempt, just before it forwards the work to its endpoint. A request is
 * reported as not run only if no attempt was dispatched, or if the row was
 * moved to Abandoned, after which no endpoint daemon can start it.
 */
class ClaimFlow
{
public:
    struct Settings
    {
        /** Time after the first read of another attempt's claim until that claim may be taken over. */
        Duration takeOverAfter = std::chrono::seconds(2);
        Duration pollInterval = std::chrono::milliseconds(100);
        int maxAttempts = 3;
    };

    /** Write @c row if its current revision in the table is @c expectedRevision. */
    struct WriteRow
    {
        std::int64_t expectedRevision = 0;
        ClaimRow row;
    };

    /** Read the row after @c pause. */
    struct ReadRow
    {
        Duration pause{};
    };

    /** Dispatch the work to an endpoint daemon. */
    struct DispatchWork
    {
        AttemptId attempt;
        std::int64_t claimRevision = 0;
    };

    /** Return the stored answer to the caller. */
    struct ReturnStoredAnswer
    {
        int status = 0;
        std::string contentType;
        std::string answer;
    };

    /** Report the failure of the request to the caller. */
    struct Fail
    {
        ErrorKind kind = ErrorKind::OutcomeUnknown;
    };

    /** Take no action; wait for the next event. */
    struct Wait
    {
    };

    using Action = std::variant<Wait, WriteRow, ReadRow, DispatchWork, ReturnStoredAnswer, Fail>;
    using AttemptIdGenerator = std::function<AttemptId()>;

private:
    enum class Step {
        Claiming,
        Dispatched,
        Abandoning,
        Finished,
    };

    Settings m_settings;
    AttemptIdGenerator m_nextAttemptId;
    std::uint64_t m_digest;
    TimePoint m_deadline;
    Step m_step = Step::Claiming;
    AttemptId m_attempt;
    std::int64_t m_revision = 0;
    std::optional<AttemptId> m_otherAttempt;
    TimePoint m_otherFirstSeen{};
    int m_attempts = 0;
    ErrorKind m_lastRefusal = ErrorKind::NoEndpoint;

    ClaimRow ownRow(ClaimState state) const;
    Action claim(std::int64_t expectedRevision);
    Action abandon();
    Action finish(Action action);
    Action nextActionForRow(const StoredClaim &stored, TimePoint now);
    Action nextActionForOtherAttempt(const StoredClaim &stored, TimePoint now);
    Action nextActionWhileAbandoning(const StoredClaim &stored, TimePoint now);
    Action retryOrFail(std::int64_t revision, ErrorKind kind, TimePoint now);

public:
    ClaimFlow(Settings settings, AttemptIdGenerator nextAttemptId, std::uint64_t digest, TimePoint deadline);

    Action start(TimePoint now);

    /** The last WriteRow completed. @p current is the new row after a commit, or the conflicting row after a conflict. */
    Action handleWriteResult(TableOutcome outcome, const StoredClaim &current, TimePoint now);

    /** The last ReadRow completed; @p current is nullopt if the table did not reply. */
    Action handleReadResult(const std::optional<StoredClaim> &current, TimePoint now);

    /** The endpoint daemon refused the dispatch: it has not forwarded the work and will not do so later. */
    Action handleDispatchRefusal(AttemptId attempt, ErrorKind kind, TimePoint now);

    /** The connection to the endpoint daemon was lost, or the dispatch timed out. */
    Action handleDispatchLoss(AttemptId attempt, TimePoint now);

    /** The complete answer of @p attempt was received. */
    void handleAnswer(AttemptId attempt);

    bool isFinished() const;
    AttemptId attempt() const;
};

}
