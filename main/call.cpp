#include "main/call.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace citronspar
{

std::string errorBody(ErrorKind kind, RunState runState, const std::string &requestId, Duration retryAfter)
{
    const ErrorResponse &response = errorResponse(kind);
    nlohmann::json error = {
        {"type", response.name},
        {"message", response.text},
        {"ran", runState == RunState::NotRun ? "not run" : "may have run"},
        {"retryable", response.isRetryable},
        {"request", requestId},
    };
    if (retryAfter > Duration::zero()) {
        error["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    }
    return nlohmann::json{{"error", error}}.dump();
}

Call::Call(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request)
    : m_services(services)
    , m_exchange(exchange)
    , m_caller(std::move(caller))
    , m_route(std::move(route))
    , m_request(std::move(request))
    , m_requestId(services.core.nextId().toString())
    , m_startedAt(Loop::now())
    , m_deadline(m_startedAt + services.config.state().settingsFor(m_caller.account).deadline)
{
}

void Call::fail(ErrorKind kind, Duration retryAfter)
{
    if (m_isFinished) {
        return;
    }
    m_services.core.metrics().increment(std::string("refused.") + errorResponse(kind).name);
    record(std::string("failed: ") + errorResponse(kind).name);
    m_services.server.respond(m_exchange, errorResponse(kind).httpStatus, "application/json",
                              errorBody(kind, runState(kind), m_requestId, retryAfter));
    finish();
}

RunState Call::runState(ErrorKind kind) const
{
    return m_unsettledAttempts > 0 ? RunState::MayHaveRun : errorResponse(kind).runState;
}

void Call::finish()
{
    m_isFinished = true;
}

bool Call::sendDispatch(const std::string &address, wire::Dispatch dispatch)
{
    const Duration timeLeft = m_deadline - Loop::now();
    dispatch.attempt.__set_incarnation(m_attempt.incarnation);
    dispatch.attempt.__set_counter(m_attempt.counter);
    dispatch.__isset.attempt = true;
    dispatch.__set_account(m_caller.account);
    dispatch.__set_keyId(m_caller.keyId);
    dispatch.__set_configVersion(m_services.config.state().version());
    dispatch.__set_route(m_route.path);
    dispatch.__set_method(m_request.method);
    dispatch.__set_path(m_request.path);
    dispatch.__set_deadlineMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count());
    wire::Body body;
    body.__set_dispatch(dispatch);
    m_link = m_services.links.linkTo(address);
    m_triedEndpoints.insert(m_endpoint);
    record("dispatched to " + m_endpoint + " as attempt " + m_attempt.toString());
    const bool isSent = m_services.links.send(m_link, body);
    m_unsettledAttempts += isSent ? 1 : 0;
    return isSent;
}

void Call::record(const std::string &event)
{
    m_services.core.record("call", event, m_requestId, m_caller.account);
}

void Call::handleDrained()
{
}

void Call::handleCallerDisconnect()
{
    if (m_isFinished) {
        return;
    }
    wire::Cancel cancel;
    cancel.attempt.__set_incarnation(m_attempt.incarnation);
    cancel.attempt.__set_counter(m_attempt.counter);
    cancel.__isset.attempt = true;
    wire::Body body;
    body.__set_cancel(cancel);
    m_services.links.send(m_link, body);
    record("caller disconnected");
    finish();
}

bool Call::isFinished() const
{
    return m_isFinished;
}

AttemptId Call::attempt() const
{
    return m_attempt;
}

PeerNetwork::LinkId Call::link() const
{
    return m_link;
}

TimePoint Call::deadline() const
{
    return m_deadline;
}

Call::ExchangeId Call::exchange() const
{
    return m_exchange;
}

}
