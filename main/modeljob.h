#pragma once

#include "drivers/ssereader.h"
#include "main/endpointjob.h"

#include <functional>
#include <memory>

namespace citronspar
{

/** Runs one completion at the engine and streams its output to the entry daemon. */
class ModelJob : public EndpointJob, public std::enable_shared_from_this<ModelJob>
{
public:
    /** Called if the engine connection ends before the response is complete. */
    using CrashHandler = std::function<void(const wire::Dispatch &dispatch)>;

private:
    SocketAddress m_engine;
    SseReader m_reader;
    std::int64_t m_uncachedTokens;
    std::int64_t m_nextIndex = 0;
    std::int64_t m_credit;
    bool m_hasFirstDelta = false;
    int m_status = 0;
    CrashHandler m_crashHandler;

    void handleEngineData(const std::string &data);
    void handleEngineEnd(HttpClientResult result);

public:
    /**
     * @param uncachedTokens prompt tokens that are not in the engine's cache
     * @param firstIndex index of the first delta; above 0 if a stream is resumed
     */
    ModelJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch, SocketAddress engine,
             std::int64_t uncachedTokens, std::int64_t firstIndex, CrashHandler onCrash);

    void start() override;
    void cancel() override;
    void addCredit(std::int64_t deltas) override;
    std::int64_t pendingPrefillTokens() const override;
};

}
