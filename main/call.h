#pragma once

#include "main/callservices.h"

#include <memory>
#include <set>
#include <string>

namespace citronspar
{

/** Who sent a request, after its key was checked. The key itself is not kept. */
struct Caller
{
    std::string account;
    std::string keyId;
};

/** One request of a caller, from its admission to the end of its answer. */
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
    std::string m_name;
    TimePoint m_startedAt;
    TimePoint m_deadline;
    PeerNetwork::LinkId m_link = 0;
    AttemptId m_attempt;
    std::string m_endpoint;
    std::set<std::string> m_tried;
    /** Attempts that were sent and not refused since; while there are any, the request may have run. */
    int m_unsettledAttempts = 0;

    /** Answers the caller with the row of the error table and ends the call. */
    void fail(ErrorKind kind, Duration retryAfter = Duration::zero());

    /** Whether the request may have run, given that it ends with @p kind. */
    RunState runState(ErrorKind kind) const;

    /** Marks the call as ended. */
    void finish();

    /** Sends the attempt to the endpoint; false when the link is full. */
    bool sendDispatch(const std::string &address, wire::Dispatch dispatch);

    /** Adds a line to the time line for this request. */
    void record(const std::string &what);

public:
    Call(const CallServices &services, ExchangeId exchange, Caller caller, Route route, HttpRequest request);
    virtual ~Call() = default;

    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    virtual void start() = 0;
    virtual void refused(AttemptId attempt, ErrorKind kind) = 0;
    virtual void delta(const wire::StreamDelta &delta) = 0;
    virtual void ended(const wire::StreamEnd &end) = 0;

    /** The link on which the present attempt was sent is gone. */
    virtual void linkLost() = 0;
    virtual void deadlinePassed() = 0;

    /** The caller took all that was written to it. */
    virtual void drained();

    /** The caller went away. */
    virtual void callerGone();

    bool isFinished() const;
    AttemptId attempt() const;
    PeerNetwork::LinkId link() const;
    TimePoint deadline() const;
    ExchangeId exchange() const;
};

/** The JSON body that tells of an error. */
std::string errorBody(ErrorKind kind, RunState runState, const std::string &request, Duration retryAfter);

}
