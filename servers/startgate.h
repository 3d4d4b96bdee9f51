#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "servers/claimrow.h"

#include <optional>
#include <variant>

namespace citronspar
{

/**
 * State machine of the endpoint daemon for at-most-once execution of a
 * request. Moves the claim from Claimed to Started before the work is forwarded
 * to the endpoint, and to Done, with the answer, afterwards. Refuses only if the
 * work was not forwarded and will not be forwarded later.
 */
class StartGate
{
public:
    struct Settings
    {
        Duration pollInterval = std::chrono::milliseconds(50);
        /** How long the write of Started is retried before the work is refused. */
        Duration startTimeout = std::chrono::seconds(5);
        /** How long the write of the result of the work is retried. */
        Duration storeTimeout = std::chrono::minutes(10);
    };

    struct WriteRow
    {
        std::int64_t expectedRevision = 0;
        ClaimRow row;
    };

    struct ReadRow
    {
        /** The delay before the read. */
        Duration pause{};
    };

    /** Forward the work to the endpoint; returned at most once. */
    struct ForwardWork
    {
    };

    struct Refuse
    {
        ErrorKind kind = ErrorKind::AttemptAbandoned;
    };

    struct Wait
    {
    };

    using Action = std::variant<Wait, WriteRow, ReadRow, ForwardWork, Refuse>;

private:
    enum class Step {
        Starting,
        Running,
        Storing,
        Finished,
    };

    Settings m_settings;
    ClaimRow m_row;
    std::int64_t m_revision;
    Step m_step = Step::Starting;
    TimePoint m_retryUntil{};

    Action write(ClaimState state);
    Action refuse(ErrorKind kind);
    Action nextActionWhileStarting(const StoredClaim &stored, TimePoint now);
    Action nextActionWhileStoring(const StoredClaim &stored, TimePoint now);

public:
    /** @param startMark id used by this instance only, by which it recognizes its own writes */
    StartGate(Settings settings, AttemptId attempt, std::uint64_t digest, std::int64_t claimRevision, AttemptId startMark);

    Action start(TimePoint now);

    /** @param current the row after the write, or the conflicting row */
    Action handleWriteResult(TableOutcome outcome, const StoredClaim &current, TimePoint now);

    /** @param current the row that was read, or nullopt if the read failed */
    Action handleReadResult(const std::optional<StoredClaim> &current, TimePoint now);

    /** The endpoint sent its complete answer. */
    Action handleWorkAnswer(int status, const std::string &contentType, const std::string &answer, TimePoint now);

    /** The work was not sent to the endpoint, as no connection could be established. */
    Action handleWorkNotSent(TimePoint now);

    /** The work was sent to the endpoint, and the connection was lost before the complete answer was received. */
    void handleWorkLoss();

    bool isFinished() const;
};

}
