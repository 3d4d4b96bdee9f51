#include "main/settings.h"

#include "core/schemacheck.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace citronspar
{

namespace
{

using nlohmann::json;

const char *const settingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["role", "daemon", "zone", "peerListen", "table", "fleetSecret"],
  "properties": {
    "role": {"enum": ["entry", "endpoint"]},
    "daemon": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "httpListen": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "peerListen": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "table": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "seeds": {"type": "array", "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}},
    "fleetSecret": {"type": "string", "minLength": 16},
    "operatorKeySha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "logLayout": {"enum": ["text", "json"]},
    "logLevel": {"enum": ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"]},
    "strategy": {"type": "string"},
    "maxBodyBytes": {"type": "integer", "minimum": 1024, "maximum": 8388608},
    "pieceBytes": {"type": "integer", "minimum": 16},
    "bytesPerToken": {"type": "number", "minimum": 0.1},
    "engine": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "service": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "endpoint": {"type": "string", "minLength": 1},
    "maxRunning": {"type": "integer", "minimum": 1},
    "prefillTokensPerSecond": {"type": "number", "minimum": 1},
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["peerPort"],
      "properties": {
        "readyListen": {"type": "string", "pattern": "^([0-9.]+:[0-9]+)?$"},
        "metricsListen": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
        "peerPort": {"type": "integer", "minimum": 1, "maximum": 65535},
        "keyRevocationMs": {"type": "number", "minimum": 1000},
        "stopGraceS": {"type": "number", "minimum": 1},
        "weightsDeadlineMs": {"type": "number", "minimum": 1000},
        "drainLimitMs": {"type": "number", "minimum": 500},
        "returnGraceS": {"type": "number", "minimum": 0},
        "retryShare": {"type": "number", "minimum": 0},
        "retrySlack": {"type": "number", "minimum": 0},
        "quotaOvershoot": {"type": "number", "minimum": 0},
        "quotaSlack": {"type": "number", "minimum": 0},
        "quotaWindowS": {"type": "number", "minimum": 1},
        "engineModel": {"type": "boolean"},
        "exposureShare": {"type": "number", "minimum": 0, "maximum": 1},
        "exposureSlack": {"type": "number", "minimum": 0},
        "rollbackMs": {"type": "number", "minimum": 500},
        "memoryMb": {"type": "number", "minimum": 16},
        "maxDescriptors": {"type": "integer", "minimum": 64},
        "intakeMemoryMb": {"type": "number", "minimum": 1}
      }
    }
  }
})";

constexpr std::size_t defaultMaxBodyBytes = 4U * 1024 * 1024;
constexpr std::size_t defaultPieceBytes = 16U * 1024;
constexpr double defaultBytesPerToken = 4;
constexpr std::size_t defaultMaxRunning = 64;
constexpr double defaultPrefillTokensPerSecond = 20000;

constexpr double millisecondsPerSecond = 1000;

/** Returns nullopt if the settings don't enable roll-outs. */
std::optional<RolloutBounds> rolloutBoundsFromJson(const json &object)
{
    if (!object.contains("exposureShare")) {
        return std::nullopt;
    }
    RolloutBounds bounds;
    bounds.exposureShare = object.at("exposureShare").get<double>();
    bounds.exposureSlack = object.value("exposureSlack", bounds.exposureSlack);
    bounds.rollback = fromSeconds(object.value("rollbackMs", toSeconds(bounds.rollback) * millisecondsPerSecond) / millisecondsPerSecond);
    return bounds;
}

PlatformSettings platformSettingsFromJson(const json &object)
{
    PlatformSettings settings;
    settings.readyListen = object.value("readyListen", std::string());
    settings.metricsListen = object.value("metricsListen", std::string());
    settings.peerPort = object.at("peerPort").get<int>();
    settings.keyRevocation
        = fromSeconds(object.value("keyRevocationMs", toSeconds(settings.keyRevocation) * millisecondsPerSecond) / millisecondsPerSecond);
    settings.stopGrace = fromSeconds(object.value("stopGraceS", toSeconds(settings.stopGrace)));
    settings.weightsDeadline = fromSeconds(object.value("weightsDeadlineMs", toSeconds(settings.weightsDeadline) * millisecondsPerSecond)
                                           / millisecondsPerSecond);
    settings.drainLimit
        = fromSeconds(object.value("drainLimitMs", toSeconds(settings.drainLimit) * millisecondsPerSecond) / millisecondsPerSecond);
    settings.returnGrace = fromSeconds(object.value("returnGraceS", toSeconds(settings.returnGrace)));
    settings.retryShare = object.value("retryShare", settings.retryShare);
    settings.retrySlack = object.value("retrySlack", settings.retrySlack);
    settings.quotaOvershoot = object.value("quotaOvershoot", settings.quotaOvershoot);
    settings.quotaSlack = object.value("quotaSlack", settings.quotaSlack);
    settings.quotaWindow = fromSeconds(object.value("quotaWindowS", toSeconds(settings.quotaWindow)));
    settings.usesEngineModel = object.value("engineModel", settings.usesEngineModel);
    settings.rollouts = rolloutBoundsFromJson(object);
    settings.memoryMb = object.value("memoryMb", settings.memoryMb);
    settings.maxDescriptors = object.value("maxDescriptors", settings.maxDescriptors);
    settings.intakeMemoryMb = object.value("intakeMemoryMb", settings.intakeMemoryMb);
    return settings;
}

Settings settingsFromJson(const json &document)
{
    Settings settings;
    settings.role = document.at("role") == "entry" ? Settings::Role::Entry : Settings::Role::Endpoint;
    settings.daemon = document.at("daemon").get<std::string>();
    settings.zone = document.at("zone").get<std::string>();
    settings.httpListen = document.value("httpListen", std::string());
    settings.peerListen = document.at("peerListen").get<std::string>();
    settings.table = document.at("table").get<std::string>();
    settings.seeds = document.value("seeds", std::vector<std::string>());
    settings.fleetSecret = document.at("fleetSecret").get<std::string>();
    settings.operatorKeySha256 = document.value("operatorKeySha256", std::string());
    settings.logLayout = document.value("logLayout", settings.logLayout);
    settings.logLevel = document.value("logLevel", settings.logLevel);
    settings.strategy = document.value("strategy", std::string());
    settings.maxBodyBytes = document.value("maxBodyBytes", defaultMaxBodyBytes);
    settings.pieceBytes = document.value("pieceBytes", defaultPieceBytes);
    settings.bytesPerToken = document.value("bytesPerToken", defaultBytesPerToken);
    settings.engine = document.value("engine", std::string());
    settings.service = document.value("service", std::string());
    settings.endpoint = document.value("endpoint", std::string());
    settings.maxRunning = document.value("maxRunning", defaultMaxRunning);
    settings.prefillTokensPerSecond = document.value("prefillTokensPerSecond", defaultPrefillTokensPerSecond);
    if (document.contains("platform")) {
        settings.platform = platformSettingsFromJson(document.at("platform"));
    }
    return settings;
}

/** Checks rules that span several settings, which the schema can't express. */
std::optional<std::string> findRoleError(const Settings &settings)
{
    if (settings.role == Settings::Role::Entry) {
        return settings.httpListen.empty() ? std::optional<std::string>("<root>: an entry daemon needs httpListen") : std::nullopt;
    }
    if (settings.endpoint.empty()) {
        return "<root>: an endpoint daemon needs endpoint";
    }
    if (settings.engine.empty() == settings.service.empty()) {
        return "<root>: an endpoint daemon needs either engine or service";
    }
    return std::nullopt;
}

}

std::optional<Settings> SettingsReader::read(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        m_lastError = path + ": the file can't be opened";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    json document;
    try {
        document = json::parse(text.str());
    } catch (const json::parse_error &error) {
        m_lastError = path + ": not JSON: " + error.what();
        return std::nullopt;
    }
    static const json schema = json::parse(settingsSchema);
    const std::optional<std::string> schemaError = findSchemaError(schema, document);
    if (schemaError.has_value()) {
        m_lastError = path + ": " + *schemaError;
        return std::nullopt;
    }
    const Settings settings = settingsFromJson(document);
    const std::optional<std::string> roleError = findRoleError(settings);
    if (roleError.has_value()) {
        m_lastError = path + ": " + *roleError;
        return std::nullopt;
    }
    return settings;
}

const std::string &SettingsReader::lastError() const
{
    return m_lastError;
}

}
