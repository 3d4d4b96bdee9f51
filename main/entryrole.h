#pragma once

#include "drivers/httpserver.h"
#include "main/call.h"
#include "main/configwriter.h"
#include "main/limitservice.h"
#include "main/operatorapi.h"
#include "main/probeservice.h"
#include "main/role.h"
#include "main/timelineservice.h"

#include <map>
#include <memory>

namespace citronspar
{

/** Role of the entry daemon: accepts callers' requests, authenticates them and routes them to endpoints. */
class EntryRole : public Role
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    HttpServer m_server;
    ConfigWriter m_writer;
    LimitService m_limits;
    ProbeService m_probes;
    TimelineService m_timelines;
    OperatorApi m_operatorApi;
    RetryBudget m_retries;
    SuspectList m_suspects;
    std::map<HttpServer::ExchangeId, std::shared_ptr<Call>> m_calls;
    /** Maps the current attempt of a call to its exchange. An entry is added at the first message of the attempt. */
    std::map<AttemptId, HttpServer::ExchangeId> m_exchangeByAttempt;
    bool m_isStopping = false;
    TimePoint m_rejectFrom = TimePoint::max();

    bool handleHealthCheck(HttpServer::ExchangeId id, const HttpRequest &request);
    void handleRequest(HttpServer::ExchangeId id, HttpRequest request);
    std::shared_ptr<Call> makeCall(HttpServer::ExchangeId id, const Caller &caller, const Route &route, HttpRequest request);
    void reject(HttpServer::ExchangeId id, ErrorKind kind);
    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    std::shared_ptr<Call> findByAttempt(const wire::AttemptId &attempt);
    void removeStaleAttempts();
    void handleLinkClosed(PeerNetwork::LinkId link);
    void tick(TimePoint now);

public:
    EntryRole(DaemonCore &core, PeerLinks &links, ConfigService &config, std::unique_ptr<RoutingStrategy> strategy);

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
