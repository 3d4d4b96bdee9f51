#include "core/errorkind.h"

#include <array>

namespace citronspar
{

namespace
{

constexpr RunState notRun = RunState::NotRun;
constexpr RunState mayHaveRun = RunState::MayHaveRun;

// Ordered like the enumeration, as the value of a kind is the index of its entry.
constexpr std::array<ErrorResponse, 28> responses = {{
    {ErrorKind::BadRequest, "bad_request", 400, notRun, false, "The request is not well formed."},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, notRun, false, "The body is larger than the limit."},
    {ErrorKind::UnknownRoute, "unknown_route", 404, notRun, false, "No such route or model."},
    {ErrorKind::KeyMissing, "key_missing", 401, notRun, false, "The request carries no key."},
    {ErrorKind::KeyRejected, "key_rejected", 401, notRun, false, "The key is not valid."},
    {ErrorKind::NotAllowed, "not_allowed", 403, notRun, false, "The client account may not use this route."},
    {ErrorKind::OverLimit, "over_limit", 429, notRun, true, "The client account is over its rate."},
    {ErrorKind::LimitsUnavailable, "limits_unavailable", 503, notRun, true, "The holder of the limits does not answer."},
    {ErrorKind::NotFresh, "not_fresh", 503, notRun, true, "The daemon cannot confirm its configuration."},
    {ErrorKind::TableUnavailable, "table_unavailable", 503, notRun, true, "The table service does not answer."},
    {ErrorKind::NoEndpoint, "no_endpoint", 503, notRun, true, "No endpoint can take the request."},
    {ErrorKind::EndpointLeaving, "endpoint_leaving", 503, notRun, true, "The endpoint is leaving."},
    {ErrorKind::EngineRestarted, "engine_restarted", 503, notRun, true, "The engine has restarted."},
    {ErrorKind::WeightsChanged, "weights_changed", 503, notRun, true, "The endpoint holds other weights."},
    {ErrorKind::Overloaded, "overloaded", 503, notRun, true, "The queue is full."},
    {ErrorKind::DeadlinePassed, "deadline_passed", 504, notRun, true, "The deadline passed before the request ran."},
    {ErrorKind::IdempotencyMismatch, "idempotency_mismatch", 422, notRun, false, "The idempotency key belongs to another body."},
    {ErrorKind::AttemptInProgress, "attempt_in_progress", 409, mayHaveRun, true, "An earlier attempt is still in progress."},
    {ErrorKind::AttemptAbandoned, "attempt_abandoned", 503, notRun, true, "The attempt was abandoned before it ran."},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 502, mayHaveRun, false, "The request was handed over and its outcome is unknown."},
    {ErrorKind::StreamBroken, "stream_broken", 502, mayHaveRun, true, "The stream ended before it was complete."},
    {ErrorKind::RequestBlocked, "request_blocked", 422, notRun, false, "The request is blocked, as engines crashed while they ran it."},
    {ErrorKind::Cancelled, "cancelled", 499, mayHaveRun, false, "The caller went away."},
    {ErrorKind::VersionConflict, "version_conflict", 409, notRun, true, "The configuration has changed since it was read."},
    {ErrorKind::Stopping, "stopping", 503, notRun, true, "The daemon is stopping."},
    {ErrorKind::TimedOut, "timed_out", 504, mayHaveRun, true, "The endpoint did not answer in the time of the route."},
    {ErrorKind::CrashSuspected, "crash_suspected", 503, notRun, true,
     "Engines crashed while they ran requests that have a part in common with this one."},
    {ErrorKind::CannotResume, "cannot_resume", 503, notRun, true,
     "The stream can't go on: the software version that began it is not known or not in service."},
}};

}

const ErrorResponse &errorResponse(ErrorKind kind)
{
    return responses.at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> errorKindFromName(const std::string &name)
{
    for (const ErrorResponse &response : responses) {
        if (name == response.name) {
            return response.kind;
        }
    }
    return std::nullopt;
}

}
