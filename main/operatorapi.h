#pragma once

#include "drivers/httpserver.h"
#include "main/configwriter.h"
#include "main/limitservice.h"
#include "main/timelineservice.h"

#include <nlohmann/json.hpp>

#include <string>

namespace citronspar
{

/** The operators' interface: JSON over HTTP, below /operator/, with the operators' own key. */
class OperatorApi
{
private:
    struct Command;

    DaemonCore &m_core;
    ConfigService &m_config;
    ConfigWriter &m_writer;
    LimitService &m_limits;
    TimelineService &m_timelines;
    HttpServer &m_server;

    void sendStatus(HttpServer::ExchangeId id, const nlohmann::json &arguments);
    void sendMetrics(HttpServer::ExchangeId id, const nlohmann::json &arguments);
    void sendConfig(HttpServer::ExchangeId id, const nlohmann::json &arguments);
    void changeConfig(HttpServer::ExchangeId id, const nlohmann::json &arguments);
    void sendTimeline(HttpServer::ExchangeId id, const nlohmann::json &arguments);
    void awaitAcceptance(HttpServer::ExchangeId id, std::int64_t version, TimePoint deadline);
    void answer(HttpServer::ExchangeId id, const nlohmann::json &document);
    void refuse(HttpServer::ExchangeId id, ErrorKind kind, const std::string &detail);

public:
    OperatorApi(DaemonCore &core, ConfigService &config, ConfigWriter &writer, LimitService &limits, TimelineService &timelines,
                HttpServer &server);

    /** Takes the request if it is an operator's; false when it is a caller's. */
    bool handle(HttpServer::ExchangeId id, const HttpRequest &request);
};

}
