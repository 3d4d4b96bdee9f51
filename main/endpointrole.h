#pragma once

#include "main/configservice.h"
#include "main/endpointjob.h"
#include "main/enginewatch.h"
#include "main/role.h"
#include "main/timelineservice.h"
#include "servers/dispatchgate.h"
#include "servers/expectedblocks.h"
#include "servers/fairqueue.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace citronspar
{

/** Role of the endpoint daemon: queues and runs the dispatches for one endpoint. No other process connects to the endpoint. */
class EndpointRole : public Role
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    TimelineService m_timelines;
    std::unique_ptr<EngineWatch> m_engine;
    ExpectedBlocks m_expectedBlocks;
    FairQueue m_queue;
    std::map<AttemptId, std::shared_ptr<EndpointJob>> m_queued;
    std::map<AttemptId, std::shared_ptr<EndpointJob>> m_running;
    std::set<AttemptId> m_seenAttempts;
    std::deque<AttemptId> m_seenOrder;
    bool m_isStopping = false;
    /** Exponential moving average of the run time of an attempt, in seconds. */
    double m_meanRunSeconds = 0;
    bool m_isJobRemovalScheduled = false;
    std::map<AttemptId, TimePoint> m_runStarts;

    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void answerProbe(const MessageOrigin &origin, const wire::Probe &probe);
    void handleDispatch(const MessageOrigin &origin, const wire::Dispatch &dispatch);
    void refuse(const MessageOrigin &origin, const wire::Dispatch &dispatch, ErrorKind kind);
    std::optional<ErrorKind> validateDispatch(const wire::Dispatch &dispatch) const;
    std::shared_ptr<EndpointJob> makeJob(const MessageOrigin &origin, const wire::Dispatch &dispatch);
    bool markSeen(AttemptId attempt);
    void startQueuedJobs();
    void cancel(AttemptId attempt);
    void handleLinkClosed(PeerNetwork::LinkId link);
    void reportCrash(const wire::Dispatch &dispatch);
    std::size_t cachedPrefix(const std::vector<std::int64_t> &blocks) const;
    std::int64_t uncachedTokens(const wire::Dispatch &dispatch) const;
    std::int64_t runningPrefillTokens() const;
    /** Returns the expected wait for a free slot, as the number of tokens that the engine can prefill in that time. */
    std::int64_t slotWaitTokens() const;
    void updateMeanRunTime(AttemptId attempt);
    bool isDraining() const;
    void scheduleJobRemoval();
    void removeFinishedJobs();

public:
    EndpointRole(DaemonCore &core, PeerLinks &links, ConfigService &config);

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
