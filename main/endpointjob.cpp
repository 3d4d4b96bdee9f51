#include "main/endpointjob.h"

#include <utility>

namespace citronspar
{

EndpointJob::EndpointJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch)
    : m_core(core)
    , m_links(links)
    , m_link(link)
    , m_dispatch(dispatch)
{
}

void EndpointJob::sendDelta(std::int64_t index, const std::string &data)
{
    wire::StreamDelta delta;
    delta.__set_attempt(m_dispatch.attempt);
    delta.__set_index(index);
    delta.__set_data(data);
    wire::Body body;
    body.__set_streamDelta(delta);
    m_links.send(m_link, body);
}

void EndpointJob::sendEnd(std::int64_t count, const std::string &errorKind, int status, const std::string &contentType)
{
    wire::StreamEnd end;
    end.__set_attempt(m_dispatch.attempt);
    end.__set_count(count);
    end.__set_errorKind(errorKind);
    end.__set_status(status);
    end.__set_contentType(contentType);
    wire::Body body;
    body.__set_streamEnd(end);
    m_links.send(m_link, body);
    m_core.record("endpoint", errorKind.empty() ? "attempt completed" : "attempt failed: " + errorKind, attempt().toString(),
                  m_dispatch.account);
}

void EndpointJob::sendRefusal(ErrorKind kind)
{
    wire::DispatchRefused refused;
    refused.__set_attempt(m_dispatch.attempt);
    refused.__set_errorKind(errorResponse(kind).name);
    wire::Body body;
    body.__set_dispatchRefused(refused);
    m_links.send(m_link, body);
    m_core.record("endpoint", std::string("attempt refused, not run: ") + errorResponse(kind).name, attempt().toString(),
                  m_dispatch.account);
}

void EndpointJob::finish()
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    if (m_finishedHandler) {
        m_finishedHandler();
    }
}

void EndpointJob::onFinished(FinishedHandler handler)
{
    m_finishedHandler = std::move(handler);
}

void EndpointJob::addCredit(std::int64_t)
{
}

std::int64_t EndpointJob::pendingPrefillTokens() const
{
    return 0;
}

bool EndpointJob::isFinished() const
{
    return m_isFinished;
}

AttemptId EndpointJob::attempt() const
{
    return AttemptId{m_dispatch.attempt.incarnation, m_dispatch.attempt.counter};
}

PeerNetwork::LinkId EndpointJob::link() const
{
    return m_link;
}

const wire::Dispatch &EndpointJob::dispatch() const
{
    return m_dispatch;
}

}
