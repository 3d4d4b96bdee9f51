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
constexpr Duration acceptancePatience = std::chrono::seconds(10);
constexpr Duration acceptancePoll = std::chrono::milliseconds(50);

}

/** A row of the table from path to member. */
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
    const std::string prefix = "Bearer ";
    const bool hasKey = request.authorization.compare(0, prefix.size(), prefix) == 0;
    if (expected.empty() || !hasKey || sha256Hex(request.authorization.substr(prefix.size())) != expected) {
        refuse(id, ErrorKind::KeyRejected, "an operator's key is needed");
        return true;
    }
    const json arguments = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!arguments.is_object()) {
        refuse(id, ErrorKind::BadRequest, "the body is not a JSON object");
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
    refuse(id, ErrorKind::UnknownRoute, "no such operator command");
    return true;
}

void OperatorApi::answer(HttpServer::ExchangeId id, const json &document)
{
    m_server.respond(id, 200, "application/json", document.dump());
}

void OperatorApi::refuse(HttpServer::ExchangeId id, ErrorKind kind, const std::string &detail)
{
    const ErrorAnswer &row = errorAnswer(kind);
    const json body = {{"error", {{"type", row.name}, {"message", row.text}, {"detail", detail}}}};
    m_server.respond(id, row.httpStatus, "application/json", body.dump());
}

void OperatorApi::sendStatus(HttpServer::ExchangeId id, const json &)
{
    answer(id,
           {{"daemon", m_core.settings().daemon},
            {"zone", m_core.settings().zone},
            {"incarnation", m_core.incarnation()},
            {"version", m_config.state().version()},
            {"isFresh", m_config.isFresh()},
            {"isAccepted", m_config.isAccepted()},
            {"outstanding", m_config.outstandingMembers()},
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
    answer(id, {{"counters", m_core.metrics().counters()}, {"series", series}});
}

void OperatorApi::sendConfig(HttpServer::ExchangeId id, const json &)
{
    answer(id, {{"version", m_config.state().version()}, {"document", m_config.document()}});
}

void OperatorApi::changeConfig(HttpServer::ExchangeId id, const json &arguments)
{
    const json patch = arguments.value("patch", json());
    const json expected = arguments.value("expectedVersion", json());
    if (!patch.is_object() || !(expected.is_null() || expected.is_number_integer())) {
        refuse(id, ErrorKind::BadRequest, "patch must be an object and expectedVersion a number");
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
            refuse(id, *result.error, result.reason);
            return;
        }
        m_core.record("config", "committed version " + std::to_string(result.version));
        m_config.pushToRoster();
        awaitAcceptance(id, result.version, Loop::now() + acceptancePatience);
    });
}

void OperatorApi::awaitAcceptance(HttpServer::ExchangeId id, std::int64_t version, TimePoint deadline)
{
    // A majority that holds a later version holds this one as well.
    if (m_config.state().version() >= version && m_config.isAccepted()) {
        m_core.record("config", "accepted version " + std::to_string(version));
        answer(id, {{"version", version}, {"state", "accepted"}});
        return;
    }
    if (Loop::now() >= deadline) {
        answer(id, {{"version", version}, {"state", "committed"}, {"outstanding", m_config.outstandingMembers()}});
        return;
    }
    m_core.timers().subscribeOnce(acceptancePoll, [this, id, version, deadline](TimePoint) {
        awaitAcceptance(id, version, deadline);
    });
}

void OperatorApi::sendTimeline(HttpServer::ExchangeId id, const json &arguments)
{
    const std::string filter = arguments.value("filter", std::string());
    m_timelines.gather([this, id, filter](const std::vector<TimelineEvent> &events, std::size_t silentDaemons) {
        json lines = json::array();
        for (const TimelineEvent &event : events) {
            const bool isWanted = filter.empty() || event.request == filter || event.account == filter || event.daemon == filter;
            if (isWanted) {
                lines.push_back({{"time_us", event.time.wall.count()},
                                 {"counter", event.time.counter},
                                 {"daemon", event.daemon},
                                 {"part", event.part},
                                 {"what", event.what},
                                 {"request", event.request},
                                 {"account", event.account}});
            }
        }
        answer(id, {{"events", lines}, {"silentDaemons", silentDaemons}});
    });
}

}
