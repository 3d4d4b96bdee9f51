#pragma once

#include "core/errorkind.h"
#include "main/peerlinks.h"

#include <functional>
#include <memory>
#include <string>

namespace citronspar
{

/** One attempt at the endpoint daemon, from its dispatch to its end. */
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

    /** Ends the attempt; an empty @p errorKind says that the answer is complete. */
    void sendEnd(std::int64_t count, const std::string &errorKind, int status, const std::string &contentType);

    /** Ends the attempt as not handed over. */
    void sendRefusal(ErrorKind kind);

    void finish();

public:
    EndpointJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch);
    virtual ~EndpointJob() = default;

    EndpointJob(const EndpointJob &) = delete;
    EndpointJob &operator=(const EndpointJob &) = delete;

    virtual void start() = 0;

    /** The entry daemon does not want the answer any more. */
    virtual void cancel() = 0;

    /** The entry daemon can take @p deltas more. */
    virtual void credit(std::int64_t deltas);

    /** The part of the prompt that the engine still has to work through, in tokens. */
    virtual std::int64_t pendingTokens() const;

    /** Called once, when the attempt has ended. */
    void onFinished(FinishedHandler handler);

    bool isFinished() const;
    AttemptId attempt() const;
    PeerNetwork::LinkId link() const;
    const wire::Dispatch &dispatch() const;
};

}
