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
 * The entry daemon's part in running a request at most once.
 *
 * A claim row stands in the table before anything is dispatched. Only an
 * endpoint daemon moves it to Started, by compare and set on the attempt, just
 * before it hands the work over. A request is reported as not run only when no
 * attempt was dispatched, or when the row moved to Abandoned, after which no
 * endpoint daemon can start it.
 */
class ClaimFlow
{
public:
    struct Settings
    {
        /** How long another attempt's claim is left alone before it is taken over. */
        Duration takeOverAfter = std::chrono::seconds(2);
        Duration pollInterval = std::chrono::milliseconds(100);
        int maxAttempts = 3;
    };

    /** Write @c row if the table holds revision @c expectedRevision. */
    struct WriteRow
    {
        std::int64_t expectedRevision = 0;
        ClaimRow row;
    };

    /** Read the row, after a pause. */
    struct ReadRow
    {
        Duration pause{};
    };

    /** Send the work to an endpoint daemon. */
    struct DispatchWork
    {
        AttemptId attempt;
        std::int64_t claimRevision = 0;
    };

    /** Answer the caller with a stored answer. */
    struct AnswerStored
    {
        int status = 0;
        std::string contentType;
        std::string answer;
    };

    /** Tell the caller that the request failed. */
    struct Fail
    {
        ErrorKind kind = ErrorKind::OutcomeUnknown;
    };

    /** Nothing to do until the next event. */
    struct Wait
    {
    };

    using Action = std::variant<Wait, WriteRow, ReadRow, DispatchWork, AnswerStored, Fail>;
    using AttemptSource = std::function<AttemptId()>;

private:
    enum class Step {
        Claiming,
        Dispatched,
        Abandoning,
        Finished,
    };

    Settings m_settings;
    AttemptSource m_attemptSource;
    std::uint64_t m_digest;
    TimePoint m_deadline;
    Step m_step = Step::Claiming;
    AttemptId m_attempt;
    std::int64_t m_revision = 0;
    std::optional<AttemptId> m_otherAttempt;
    TimePoint m_otherSince{};
    int m_attempts = 0;
    ErrorKind m_lastRefusal = ErrorKind::NoEndpoint;

    ClaimRow ownRow(ClaimState state) const;
    Action claim(std::int64_t expectedRevision);
    Action abandon();
    Action finish(Action action);
    Action examine(const StoredClaim &stored, TimePoint now);
    Action examineForeign(const StoredClaim &stored, TimePoint now);
    Action examineAbandoning(const StoredClaim &stored, TimePoint now);
    Action retryOrFail(std::int64_t revision, ErrorKind kind, TimePoint now);

public:
    ClaimFlow(Settings settings, AttemptSource attemptSource, std::uint64_t digest, TimePoint deadline);

    Action start(TimePoint now);

    /** The table replied to the last WriteRow. @p current is the row after a conflict. */
    Action writeEnded(TableOutcome outcome, const StoredClaim &current, TimePoint now);

    /** The table replied to the last ReadRow; nothing means that it did not. */
    Action readEnded(const std::optional<StoredClaim> &current, TimePoint now);

    /** The endpoint daemon says that it has not handed the work over and never will. */
    Action dispatchRefused(AttemptId attempt, ErrorKind kind, TimePoint now);

    /** Contact with the endpoint daemon was lost, or it took too long. */
    Action dispatchLost(AttemptId attempt, TimePoint now);

    /** The whole answer has arrived. */
    void answered(AttemptId attempt);

    bool isFinished() const;
    AttemptId attempt() const;
};

}
