#pragma once

#include "main/callservices.h"

#include <memory>
#include <set>
#include <string>

namespace citronspar
{

/** Identity of an authenticated caller. The API key itself is not kept. */
struct Caller
{
    std::string account;
    std::string keyId;
};

/** Base class of a caller's request at the entry daemon, from admission to the end of the response. */
class Call
{
public:
    using ExchangeId = HttpServer::ExchangeId;

private:
    bool m_isFinished = false;

protected:
    CallServices m_services;
    ExchangeId m_exchange;
    Caller m_caller;
    Route m_route;
    HttpRequest m_request;
    std::string m_requestId;
    TimePoint m_startedAt;
    TimePoint m_deadline;
    PeerNetwork::LinkId m_link = 0;
    AttemptId m_attempt;
    std::string m_endpoint;
    std::set<std::string> m_triedEndpoints;
    /** Number of attempts that were dispatched and not refused. While it is above zero, the request may have run. */
    int m_unsettledAttempts = 0;

    /** Responds with the status and error body of @p kind and ends the call. Has no effect on a finished call. */
    void fail(ErrorKind kind, Duration retryAfter = Duration::zero());

    /** Returns the run state to report to the caller if the request fails with @p kind. */
    RunState runState(ErrorKind kind) const;

    void finish();

    /** Sends the current attempt to the endpoint daemon at @p address. Returns false if the link's send queue is full. */
    bool sendDispatch(const std::string &address, wire::Dispatch dispatch);

    /** Records an event of this request in the timeline. */
    void record(const std::string &event);

public:
    Call(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request);
    virtual ~Call() = default;

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    virtual void start() = 0;
    virtual void handleRefusal(AttemptId attempt, ErrorKind kind) = 0;
    virtual void handleDelta(const wire::StreamDelta &delta) = 0;
    virtual void handleStreamEnd(const wire::StreamEnd &end) = 0;

    /** Called when the link that carries the current attempt was closed. */
    virtual void handleLinkLoss() = 0;
    virtual void handleDeadline() = 0;

    /** Called when the response data buffered for the caller was sent. */
    virtual void handleDrained();

    /** Cancels the current attempt because the caller disconnected. */
    virtual void handleCallerDisconnect();

    bool isFinished() const;
    AttemptId attempt() const;
    PeerNetwork::LinkId link() const;
    TimePoint deadline() const;
    ExchangeId exchange() const;
};

/** Returns the JSON body of an error response. A @p retryAfter of zero is left out. */
std::string errorBody(ErrorKind kind, RunState runState, const std::string &requestId, Duration retryAfter);

}
