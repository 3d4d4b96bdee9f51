#include "servers/fleetstatereader.h"

#include "core/schemacheck.h"

#include <nlohmann/json.hpp>

namespace citronspar
{

namespace
{

using nlohmann::json;

const char *const schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "definitions": {"values": {"type": "object", "additionalProperties": false, "properties": {
      "deadlineMilliseconds": {"type": "integer", "minimum": 1},
      "maxOutputTokens": {"type": "integer", "minimum": 1},
      "maxAttempts": {"type": "integer", "minimum": 1, "maximum": 10},
      "maxQueuedTokens": {"type": "integer", "minimum": 1}}}},
  "required": ["roster", "accounts", "keys", "routes", "endpoints", "holders"],
  "properties": {
    "defaults": {"$ref": "#/definitions/values"},
    "exceptions": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["target", "set", "reason"], "properties": {
        "target": {"type": "string", "minLength": 1},
        "set": {"$ref": "#/definitions/values"},
        "reason": {"type": "string", "minLength": 1}}}},
    "daemons": {"type": "object", "additionalProperties": {"type": "string", "minLength": 3}},
    "roster": {"type": "array", "items": {"type": "string"}},
    "previousRoster": {"type": "array", "items": {"type": "string"}},
    "accounts": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["tokensPerSecond", "burstTokens"], "properties": {
        "tokensPerSecond": {"type": "number", "minimum": 0},
        "burstTokens": {"type": "number", "minimum": 0}}}},
    "keys": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["account", "sha256"], "properties": {
        "account": {"type": "string"},
        "sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        "isWithdrawn": {"type": "boolean"}}}},
    "routes": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["kind", "pool"], "properties": {
        "kind": {"enum": ["model", "once", "open"]},
        "pool": {"type": "string"}}}},
    "endpoints": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["address", "pool", "zone"], "properties": {
        "address": {"type": "string"},
        "pool": {"type": "string"},
        "zone": {"type": "string"},
        "weights": {"type": "string"},
        "isRetired": {"type": "boolean"}}}},
    "holders": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
      "required": ["daemon", "epoch"], "properties": {
        "daemon": {"type": "string"},
        "incarnation": {"type": "integer"},
        "epoch": {"type": "integer", "minimum": 1}}}}
  }
})";

RouteKind routeKindFromName(const std::string &name)
{
    if (name == "once") {
        return RouteKind::AtMostOnce;
    }
    return name == "open" ? RouteKind::Unauthenticated : RouteKind::Model;
}

/** Returns @p defaults with the members of @p values applied. */
FleetState::Defaults readValues(FleetState::Defaults defaults, const json &values)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(defaults.deadline).count();
    defaults.deadline = std::chrono::milliseconds(values.value("deadlineMilliseconds", milliseconds));
    defaults.maxOutputTokens = values.value("maxOutputTokens", defaults.maxOutputTokens);
    defaults.maxAttempts = values.value("maxAttempts", defaults.maxAttempts);
    defaults.maxQueuedTokens = values.value("maxQueuedTokens", defaults.maxQueuedTokens);
    return defaults;
}

}

std::shared_ptr<const FleetState> FleetStateReader::read(std::int64_t version, const json &document)
{
    static const json schema = json::parse(schemaText);
    const std::optional<std::string> error = findSchemaError(schema, document);
    if (error.has_value()) {
        m_lastError = *error;
        return nullptr;
    }
    return build(version, document);
}

std::shared_ptr<const FleetState> FleetStateReader::readPrevalidated(std::int64_t version, const json &document)
{
    try {
        return build(version, document);
    } catch (const json::exception &error) {
        m_lastError = error.what();
        return nullptr;
    }
}

std::shared_ptr<const FleetState> FleetStateReader::build(std::int64_t version, const json &document)
{
    const std::shared_ptr<FleetState> state = std::make_shared<FleetState>();
    state->m_version = version;
    state->m_defaults = readValues(FleetState::Defaults(), document.value("defaults", json::object()));
    // Applied in the order of their ids: if two entries set the same value, the entry with the last id takes precedence.
    const json exceptions = document.value("exceptions", json::object());
    for (const auto &item : exceptions.items()) {
        const std::string target = item.value().at("target").get<std::string>();
        state->m_settingsByTarget[target] = readValues(state->settingsFor(target), item.value().at("set"));
    }
    state->m_roster.members = document.at("roster").get<std::vector<std::string>>();
    state->m_roster.previousMembers = document.value("previousRoster", std::vector<std::string>());
    state->m_daemons = document.value("daemons", std::map<std::string, std::string>());
    for (const auto &item : document.at("accounts").items()) {
        state->m_accounts[item.key()]
            = Account{item.key(), item.value().at("tokensPerSecond").get<double>(), item.value().at("burstTokens").get<double>()};
    }
    for (const auto &item : document.at("keys").items()) {
        const Key key{item.key(), item.value().at("account").get<std::string>(), item.value().value("isWithdrawn", false)};
        state->m_keysById[key.id] = key;
        state->m_keysByDigest[item.value().at("sha256").get<std::string>()] = key;
    }
    for (const auto &item : document.at("routes").items()) {
        state->m_routes[item.key()]
            = Route{item.key(), routeKindFromName(item.value().at("kind").get<std::string>()), item.value().at("pool").get<std::string>()};
    }
    for (const auto &item : document.at("endpoints").items()) {
        Endpoint endpoint;
        endpoint.id = item.key();
        endpoint.address = item.value().at("address").get<std::string>();
        endpoint.pool = item.value().at("pool").get<std::string>();
        endpoint.zone = item.value().at("zone").get<std::string>();
        endpoint.weights = item.value().value("weights", std::string());
        endpoint.isRetired = item.value().value("isRetired", false);
        state->m_endpoints[endpoint.id] = endpoint;
    }
    for (const auto &item : document.at("holders").items()) {
        LimitHolderRow row;
        row.daemon = item.value().at("daemon").get<std::string>();
        row.incarnation = item.value().value("incarnation", std::int64_t(0));
        row.epoch = item.value().at("epoch").get<std::int64_t>();
        state->m_holders[item.key()] = row;
    }
    m_lastError.clear();
    return state;
}

const std::string &FleetStateReader::lastError() const
{
    return m_lastError;
}

}
