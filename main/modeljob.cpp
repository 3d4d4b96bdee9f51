#include "main/modeljob.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr std::int64_t creditWindow = 512;
constexpr int statusOk = 200;
constexpr int statusServerError = 500;
const char *const streamEndMarker = "[DONE]";

}

ModelJob::ModelJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch, SocketAddress engine,
                   std::int64_t uncachedTokens, std::int64_t firstIndex, CrashHandler onCrash)
    : EndpointJob(core, links, link, dispatch)
    , m_engine(std::move(engine))
    , m_uncachedTokens(uncachedTokens)
    , m_nextIndex(firstIndex)
    , m_credit(creditWindow)
    , m_crashHandler(std::move(onCrash))
{
}

void ModelJob::start()
{
    json document = json::parse(m_dispatch.body, nullptr, false);
    if (!document.is_object()) {
        sendRefusal(ErrorKind::BadRequest);
        finish();
        return;
    }
    // The engine reuses a cached block only for requests that carry the same block hash.
    document["block_hashes"] = std::vector<std::uint64_t>(m_dispatch.blocks.begin(), m_dispatch.blocks.end());
    document["prompt_tokens"] = m_dispatch.promptTokens;
    HttpClientRequest request;
    request.target = m_engine;
    request.method = "POST";
    request.path = m_dispatch.path;
    request.headers.emplace_back("content-type", "application/json");
    request.body = document.dump();
    const std::weak_ptr<ModelJob> weak = weak_from_this();
    HttpClient::Handlers handlers;
    handlers.onHead = [weak](int status, const std::string &) {
        const std::shared_ptr<ModelJob> job = weak.lock();
        if (job != nullptr) {
            job->m_status = status;
        }
    };
    handlers.onData = [weak](const std::string &data) {
        const std::shared_ptr<ModelJob> job = weak.lock();
        if (job != nullptr && !job->isFinished()) {
            job->handleEngineData(data);
        }
    };
    handlers.onEnd = [weak](HttpClientResult result) {
        const std::shared_ptr<ModelJob> job = weak.lock();
        if (job != nullptr && !job->isFinished()) {
            job->handleEngineEnd(result);
        }
    };
    m_call = m_core.http().send(std::move(request), std::move(handlers));
}

void ModelJob::handleEngineData(const std::string &data)
{
    if (m_status != statusOk) {
        return;
    }
    for (const std::string &event : m_reader.add(data)) {
        if (event == streamEndMarker) {
            sendEnd(m_nextIndex, std::string(), statusOk, "text/event-stream");
            finish();
            m_core.http().cancel(m_call);
            return;
        }
        m_hasFirstDelta = true;
        sendDelta(m_nextIndex, event);
        ++m_nextIndex;
        --m_credit;
    }
    if (m_credit <= 0) {
        m_core.http().pause(m_call);
    }
}

void ModelJob::handleEngineEnd(HttpClientResult result)
{
    if (result == HttpClientResult::NotSent) {
        sendRefusal(ErrorKind::NoEndpoint);
        finish();
        return;
    }
    if (m_status != 0 && m_status != statusOk && m_status < statusServerError) {
        sendRefusal(ErrorKind::BadRequest);
        finish();
        return;
    }
    // A response without the end marker is incomplete, even if the connection closed cleanly.
    if (m_status == 0 || m_status == statusOk) {
        m_crashHandler(m_dispatch);
    }
    sendEnd(m_nextIndex, errorResponse(ErrorKind::StreamBroken).name, 0, std::string());
    finish();
}

void ModelJob::cancel()
{
    m_core.http().cancel(m_call);
    m_core.record("endpoint", "attempt cancelled", attempt().toString(), m_dispatch.account);
    finish();
}

void ModelJob::addCredit(std::int64_t deltas)
{
    const bool wasPaused = m_credit <= 0;
    m_credit += deltas;
    if (wasPaused && m_credit > 0) {
        m_core.http().resume(m_call);
    }
}

std::int64_t ModelJob::pendingPrefillTokens() const
{
    return m_hasFirstDelta ? 0 : m_uncachedTokens;
}

}
