#pragma once

#include <optional>
#include <string>

namespace citronspar
{

/** The closed list of everything a caller can be told that went wrong. */
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    UnknownRoute,
    KeyMissing,
    KeyRejected,
    NotAllowed,
    OverLimit,
    LimitsUnavailable,
    NotFresh,
    TableUnavailable,
    NoEndpoint,
    EndpointLeaving,
    EngineRestarted,
    WeightsChanged,
    Overloaded,
    DeadlinePassed,
    IdempotencyMismatch,
    AttemptInProgress,
    AttemptAbandoned,
    OutcomeUnknown,
    StreamBroken,
    RequestBlocked,
    Cancelled,
    VersionConflict,
    Stopping,
    TimedOut,
};

/** Whether the request was handed to an endpoint. */
enum class RunState {
    NotRun,
    MayHaveRun,
};

/** What a caller is told about one kind of error. */
struct ErrorAnswer
{
    ErrorKind kind;
    const char *name;
    int httpStatus;
    RunState runState;
    bool isRetryable;
    const char *text;
};

/** The row of the table for @p kind. */
const ErrorAnswer &errorAnswer(ErrorKind kind);

/** Finds a kind by its name, as it travels between daemons. */
std::optional<ErrorKind> errorKindFromName(const std::string &name);

}
