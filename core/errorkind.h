#pragma once

#include <optional>
#include <string>

namespace citronspar
{

/** All kinds of errors that are reported to callers. */
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
    CrashSuspected,
    CannotResume,
};

/** Whether an endpoint may have started to run the request. */
enum class RunState {
    NotRun,
    MayHaveRun,
};

/** The error response that a caller gets for one kind of error. */
struct ErrorResponse
{
    ErrorKind kind;
    const char *name;
    int httpStatus;
    RunState runState;
    bool isRetryable;
    const char *text;
};

/** The error response for @p kind. */
const ErrorResponse &errorResponse(ErrorKind kind);

/** Finds a kind by its name in messages between daemons. Returns nullopt if the name is unknown. */
std::optional<ErrorKind> errorKindFromName(const std::string &name);

}
