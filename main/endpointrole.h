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

/** Stands beside one endpoint and is the only process that talks to it. */
class EndpointRole : public Role
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    TimelineService m_timelines;
    std::unique_ptr<EngineWatch> m_engine;
    ExpectedBlocks m_expected;
    FairQueue m_queue;
    std::map<AttemptId, std::shared_ptr<EndpointJob>> m_queued;
    std::map<AttemptId, std::shared_ptr<EndpointJob>> m_running;
    std::set<AttemptId> m_seen;
    std::deque<AttemptId> m_seenOrder;
    bool m_isLeaving = false;
    /** How long an answer takes, as a moving average in seconds. */
    double m_meanRunSeconds = 0;
    bool m_isSweepDue = false;
    std::map<AttemptId, TimePoint> m_runStarts;

    void handle(const MessageOrigin &origin, const wire::Body &body);
    void answerProbe(const MessageOrigin &origin, const wire::Probe &probe);
    void takeDispatch(const MessageOrigin &origin, const wire::Dispatch &dispatch);
    void refuse(const MessageOrigin &origin, const wire::Dispatch &dispatch, ErrorKind kind);
    std::optional<ErrorKind> check(const wire::Dispatch &dispatch) const;
    std::shared_ptr<EndpointJob> makeJob(const MessageOrigin &origin, const wire::Dispatch &dispatch);
    bool remember(AttemptId attempt);
    void runQueued();
    void cancel(AttemptId attempt);
    void linkClosed(PeerNetwork::LinkId link);
    void reportCrash(const wire::Dispatch &dispatch);
    std::size_t cachedPrefix(const std::vector<std::int64_t> &blocks) const;
    std::int64_t missingTokens(const wire::Dispatch &dispatch) const;
    std::int64_t runningPrefillTokens() const;
    std::int64_t slotWaitTokens() const;
    void noteRunEnded(AttemptId attempt);
    bool isLeaving() const;
    void sweepSoon();
    void sweep();

public:
    EndpointRole(DaemonCore &core, PeerLinks &links, ConfigService &config);

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
