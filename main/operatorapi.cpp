#include "main/operatorapi.h"

#include "core/digest.h"

#include <array>
#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

const std::string pathPrefix = "/operator/";
constexpr Duration acceptanceTimeout = std::chrono::seconds(10);
constexpr Duration acceptancePollInterval = std::chrono::milliseconds(50);

}

/** Maps a path below /operator/ to its handler. */
struct OperatorApi::Command
{
    const char *name;
    void (OperatorApi::*run)(HttpServer::ExchangeId id, const json &arguments);
};

OperatorApi::OperatorApi(DaemonCore &core, ConfigService &config, ConfigWriter &writer, LimitService &limits, TimelineService &timelines,
                         HttpServer &server)
    : m_core(core)
    , m_config(config)
    , m_writer(writer)
    , m_limits(limits)
    , m_timelines(timelines)
    , m_server(server)
{
}

bool OperatorApi::handle(HttpServer::ExchangeId id, const HttpRequest &request)
{
    if (request.path.compare(0, pathPrefix.size(), pathPrefix) != 0) {
        return false;
    }
    const std::string &expected = m_core.settings().operatorKeySha256;
    const std::string scheme = "Bearer ";
    const bool hasBearerKey = request.authorization.compare(0, scheme.size(), scheme) == 0;
    if (expected.empty() || !hasBearerKey || sha256Hex(request.authorization.substr(scheme.size())) != expected) {
        sendError(id, ErrorKind::KeyRejected, "an operator's key is needed");
        return true;
    }
    const json arguments = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!arguments.is_object()) {
        sendError(id, ErrorKind::BadRequest, "the body is not a JSON object");
        return true;
    }
    static const std::array<Command, 5> commands = {{
        {"status", &OperatorApi::sendStatus},
        {"metrics", &OperatorApi::sendMetrics},
        {"config", &OperatorApi::sendConfig},
        {"change", &OperatorApi::changeConfig},
        {"timeline", &OperatorApi::sendTimeline},
    }};
    for (const Command &command : commands) {
        if (request.path == pathPrefix + command.name) {
            (this->*command.run)(id, arguments);
            return true;
        }
    }
    sendError(id, ErrorKind::UnknownRoute, "no such operator command");
    return true;
}

void OperatorApi::respond(HttpServer::ExchangeId id, const json &document)
{
    m_server.respond(id, 200, "application/json", document.dump());
}

void OperatorApi::sendError(HttpServer::ExchangeId id, ErrorKind kind, const std::string &detail)
{
    const ErrorResponse &error = errorResponse(kind);
    const json body = {{"error", {{"type", error.name}, {"message", error.text}, {"detail", detail}}}};
    m_server.respond(id, error.httpStatus, "application/json", body.dump());
}

void OperatorApi::sendStatus(HttpServer::ExchangeId id, const json &)
{
    respond(id,
            {{"daemon", m_core.settings().daemon},
             {"zone", m_core.settings().zone},
             {"incarnation", m_core.incarnation()},
             {"version", m_config.state().version()},
             {"isFresh", m_config.isFresh()},
             {"isAccepted", m_config.isAccepted()},
             {"outstanding", m_config.unconfirmedMembers()},
             {"activeShards", m_limits.activeShards()},
             {"limitsReady", m_limits.isReady()},
             {"endpoints", m_config.state().endpoints().size()},
             {"openRequests", m_server.openExchanges()}});
}

void OperatorApi::sendMetrics(HttpServer::ExchangeId id, const json &)
{
    json series = json::object();
    for (const std::pair<const std::string, SeriesSummary> &entry : m_core.metrics().summaries()) {
        const SeriesSummary &summary = entry.second;
        series[entry.first] = {{"count", summary.count}, {"mean", summary.mean}, {"max", summary.max},
                               {"p50", summary.p50},     {"p95", summary.p95},   {"p99", summary.p99}};
    }
    respond(id, {{"counters", m_core.metrics().counters()}, {"series", series}});
}

void OperatorApi::sendConfig(HttpServer::ExchangeId id, const json &)
{
    respond(id, {{"version", m_config.state().version()}, {"document", m_config.document()}});
}

void OperatorApi::changeConfig(HttpServer::ExchangeId id, const json &arguments)
{
    const json patch = arguments.value("patch", json());
    const json expected = arguments.value("expectedVersion", json());
    if (!patch.is_object() || !(expected.is_null() || expected.is_number_integer())) {
        sendError(id, ErrorKind::BadRequest, "patch must be an object and expectedVersion a number");
        return;
    }
    const ConfigWriter::Edit edit = [patch](const json &document) -> std::optional<json> {
        json changed = document;
        changed.merge_patch(patch);
        return changed;
    };
    std::optional<std::int64_t> expectedVersion;
    if (!expected.is_null()) {
        expectedVersion = expected.get<std::int64_t>();
    }
    m_writer.commit(edit, expectedVersion, [this, id](const ChangeResult &result) {
        if (result.error.has_value()) {
            sendError(id, *result.error, result.reason);
            return;
        }
        m_core.record("config", "committed version " + std::to_string(result.version));
        m_config.pushToRoster();
        awaitAcceptance(id, result.version, Loop::now() + acceptanceTimeout);
    });
}

void OperatorApi::awaitAcceptance(HttpServer::ExchangeId id, std::int64_t version, TimePoint deadline)
{
    // A majority that has applied a later version has applied this one as well.
    if (m_config.state().version() >= version && m_config.isAccepted()) {
        m_core.record("config", "accepted version " + std::to_string(version));
        respond(id, {{"version", version}, {"state", "accepted"}});
        return;
    }
    if (Loop::now() >= deadline) {
        respond(id, {{"version", version}, {"state", "committed"}, {"outstanding", m_config.unconfirmedMembers()}});
        return;
    }
    m_core.timers().subscribeOnce(acceptancePollInterval, [this, id, version, deadline](TimePoint) {
        awaitAcceptance(id, version, deadline);
    });
}

void OperatorApi::sendTimeline(HttpServer::ExchangeId id, const json &arguments)
{
    const std::string filter = arguments.value("filter", std::string());
    m_timelines.gather([this, id, filter](const std::vector<TimelineEvent> &events, std::size_t silentDaemons) {
        json lines = json::array();
        for (const TimelineEvent &event : events) {
            const bool matchesFilter = filter.empty() || event.request == filter || event.account == filter || event.daemon == filter;
            if (matchesFilter) {
                lines.push_back({{"time_us", event.time.wall.count()},
                                 {"counter", event.time.counter},
                                 {"daemon", event.daemon},
                                 {"part", event.part},
                                 {"what", event.what},
                                 {"request", event.request},
                                 {"account", event.account}});
            }
        }
        respond(id, {{"events", lines}, {"silentDaemons", silentDaemons}});
    });
}

}
