#pragma once

#include "core/errorkind.h"
#include "core/time.h"
#include "servers/claimrow.h"

#include <optional>
#include <variant>

namespace citronspar
{

/**
 * The endpoint daemon's part in running a request at most once: it moves the
 * claim from Claimed to Started before it hands the work over, and to Done
 * with the answer after. A refusal is given only when the work was not handed
 * over and never will be.
 */
class StartGate
{
public:
    struct Settings
    {
        Duration pollInterval = std::chrono::milliseconds(50);
        /** How long it tries to start before it refuses. */
        Duration startPatience = std::chrono::seconds(5);
        /** How long it tries to store what came of the work. */
        Duration storePatience = std::chrono::minutes(10);
    };

    struct WriteRow
    {
        std::int64_t expectedRevision = 0;
        ClaimRow row;
    };

    struct ReadRow
    {
        Duration pause{};
    };

    /** Give the work to the endpoint; this action comes at most once. */
    struct HandOver
    {
    };

    struct Refuse
    {
        ErrorKind kind = ErrorKind::AttemptAbandoned;
    };

    struct Wait
    {
    };

    using Action = std::variant<Wait, WriteRow, ReadRow, HandOver, Refuse>;

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
    TimePoint m_patienceEnd{};

    Action write(ClaimState state);
    Action refuse(ErrorKind kind);
    Action examineStarting(const StoredClaim &stored, TimePoint now);
    Action examineStoring(const StoredClaim &stored, TimePoint now);

public:
    /** @param startMark drawn for this gate alone */
    StartGate(Settings settings, AttemptId attempt, std::uint64_t digest, std::int64_t claimRevision, AttemptId startMark);

    Action start(TimePoint now);
    Action writeEnded(TableOutcome outcome, const StoredClaim &current, TimePoint now);
    Action readEnded(const std::optional<StoredClaim> &current, TimePoint now);

    /** The endpoint answered. */
    Action workAnswered(int status, const std::string &contentType, const std::string &answer, TimePoint now);

    /** The endpoint never got the work, as no connection came about. */
    Action workNotSent(TimePoint now);

    /** The endpoint got the work, and contact was lost before it answered. */
    void workLost();

    bool isFinished() const;
};

}
