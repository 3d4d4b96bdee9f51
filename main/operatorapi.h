#pragma once

#include "drivers/httpserver.h"
#include "main/configwriter.h"
#include "main/limitservice.h"
#include "main/timelineservice.h"

#include <nlohmann/json.hpp>

#include <string>

namespace citronspar
{

/** JSON API for operators under /operator/. Requests are authenticated with the operator key. */
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
    void respond(HttpServer::ExchangeId id, const nlohmann::json &document);
    void sendError(HttpServer::ExchangeId id, ErrorKind kind, const std::string &detail);

public:
    OperatorApi(DaemonCore &core, ConfigService &config, ConfigWriter &writer, LimitService &limits, TimelineService &timelines,
                HttpServer &server);

    /** Handles requests under /operator/. Returns false for all other paths, without a response. */
    bool handle(HttpServer::ExchangeId id, const HttpRequest &request);
};

}
