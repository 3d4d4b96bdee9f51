#pragma once

#include "core/errorkind.h"
#include "main/peerlinks.h"

#include <functional>
#include <memory>
#include <string>

namespace citronspar
{

/** Base class of one attempt at the endpoint daemon, from dispatch to completion. */
class EndpointJob
{
public:
    using FinishedHandler = std::function<void()>;

private:
    bool m_isFinished = false;
    FinishedHandler m_finishedHandler;

protected:
    DaemonCore &m_core;
    PeerLinks &m_links;
    PeerNetwork::LinkId m_link;
    wire::Dispatch m_dispatch;
    HttpClient::CallId m_call = 0;

    void sendDelta(std::int64_t index, const std::string &data);

    /** Sends the end of the stream. An empty @p errorKind means that the response is complete. */
    void sendEnd(std::int64_t count, const std::string &errorKind, int status, const std::string &contentType);

    /** Tells the entry daemon that the attempt was refused without running. */
    void sendRefusal(ErrorKind kind);

    void finish();

public:
    EndpointJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch);
    virtual ~EndpointJob() = default;

    EndpointJob(const EndpointJob &) = delete;
    EndpointJob &operator=(const EndpointJob &) = delete;

    virtual void start() = 0;

    /** Cancels the attempt at the request of the entry daemon. */
    virtual void cancel() = 0;

    /** Adds flow-control credit: the entry daemon accepts @p deltas more. */
    virtual void addCredit(std::int64_t deltas);

    /** Returns the number of prompt tokens that the engine still has to prefill. */
    virtual std::int64_t pendingPrefillTokens() const;

    /** Sets the handler that is called once, when the attempt has ended. */
    void onFinished(FinishedHandler handler);

    bool isFinished() const;
    AttemptId attempt() const;
    PeerNetwork::LinkId link() const;
    const wire::Dispatch &dispatch() const;
};

}
