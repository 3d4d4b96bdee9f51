#include "client/command.h"

#include "core/digest.h"

#include <openssl/rand.h>

#include <array>
#include <fstream>
#include <iterator>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr std::size_t keyBytes = 24;

std::string generateKey()
{
    std::array<unsigned char, keyBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return "sk-" + sha256Hex(std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size())).substr(0, 2 * keyBytes);
}

OperatorCall changeCall(const CommandLine &line, const json &patch)
{
    OperatorCall call;
    call.path = "change";
    call.body["patch"] = patch;
    if (line.expectedVersion >= 0) {
        call.body["expectedVersion"] = line.expectedVersion;
    }
    return call;
}

using ParseResult = std::optional<OperatorCall>;

ParseResult parseStatus(const CommandLine &, std::string &)
{
    return OperatorCall{"status", json::object(), std::string()};
}

ParseResult parseMetrics(const CommandLine &, std::string &)
{
    return OperatorCall{"metrics", json::object(), std::string()};
}

ParseResult parseConfigGet(const CommandLine &, std::string &)
{
    return OperatorCall{"config", json::object(), std::string()};
}

ParseResult parseConfigSet(const CommandLine &line, std::string &error)
{
    std::ifstream file(line.arguments[2]);
    const json patch = json::parse(std::string(std::istreambuf_iterator<char>(file), {}), nullptr, false);
    if (!patch.is_object()) {
        error = line.arguments[2] + ": not a JSON object";
        return std::nullopt;
    }
    return changeCall(line, patch);
}

ParseResult parseExceptionAdd(const CommandLine &line, std::string &error)
{
    const json values = json::parse(line.arguments[4], nullptr, false);
    if (line.reason.empty() || !values.is_object()) {
        error = "an exception needs --reason and a JSON object with its values";
        return std::nullopt;
    }
    return changeCall(line,
                      {{"exceptions", {{line.arguments[2], {{"target", line.arguments[3]}, {"set", values}, {"reason", line.reason}}}}}});
}

ParseResult parseExceptionRemove(const CommandLine &line, std::string &)
{
    return changeCall(line, {{"exceptions", {{line.arguments[2], nullptr}}}});
}

ParseResult parseKeyGrant(const CommandLine &line, std::string &)
{
    const std::string key = generateKey();
    OperatorCall call = changeCall(line, {{"keys", {{line.arguments[2], {{"account", line.arguments[3]}, {"sha256", sha256Hex(key)}}}}}});
    call.newKey = key;
    return call;
}

ParseResult parseKeyWithdraw(const CommandLine &line, std::string &)
{
    return changeCall(line, {{"keys", {{line.arguments[2], {{"isWithdrawn", true}}}}}});
}

ParseResult parseVmRetire(const CommandLine &line, std::string &)
{
    return changeCall(line, {{"endpoints", {{line.arguments[2], {{"isRetired", true}}}}}});
}

ParseResult parseTimeline(const CommandLine &line, std::string &)
{
    OperatorCall call;
    call.path = "timeline";
    call.body["filter"] = line.arguments.size() > 1 ? line.arguments[1] : std::string();
    return call;
}

struct Command
{
    std::vector<std::string> name;
    std::size_t minArguments;
    const char *usage;
    ParseResult (*parse)(const CommandLine &line, std::string &error);
};

const std::array<Command, 10> commands = {{
    {{"status"}, 1, "status                                    state of the daemon", parseStatus},
    {{"metrics"}, 1, "metrics                                   counters and series summaries of the daemon", parseMetrics},
    {{"config", "get"}, 2, "config get                                current configuration", parseConfigGet},
    {{"config", "set"}, 3, "config set FILE                           merge FILE (RFC 7396) into the configuration", parseConfigSet},
    {{"exception", "add"}, 5, "exception add ID TARGET JSON --reason R   add an exception to the defaults", parseExceptionAdd},
    {{"exception", "remove"}, 3, "exception remove ID                       remove an exception", parseExceptionRemove},
    {{"key", "grant"}, 4, "key grant ID ACCOUNT                      create a key and print it once", parseKeyGrant},
    {{"key", "withdraw"}, 3, "key withdraw ID                           withdraw a key", parseKeyWithdraw},
    {{"vm", "retire"}, 3, "vm retire ENDPOINT                        send no new requests to an endpoint", parseVmRetire},
    {{"timeline"}, 1, "timeline [REQUEST|ACCOUNT|DAEMON]         events of all daemons, sorted by time", parseTimeline},
}};

bool matches(const CommandLine &line, const Command &command)
{
    for (std::size_t i = 0; i < command.name.size(); ++i) {
        if (i >= line.arguments.size() || line.arguments[i] != command.name[i]) {
            return false;
        }
    }
    return true;
}

}

std::optional<OperatorCall> CommandParser::parse(const CommandLine &line)
{
    for (const Command &command : commands) {
        if (!matches(line, command)) {
            continue;
        }
        if (line.arguments.size() < command.minArguments) {
            m_lastError = std::string("usage: citronspar ") + command.usage;
            return std::nullopt;
        }
        return command.parse(line, m_lastError);
    }
    m_lastError = "unknown command; see --help";
    return std::nullopt;
}

const std::string &CommandParser::lastError() const
{
    return m_lastError;
}

std::string CommandParser::help()
{
    std::string text = "Commands:\n";
    for (const Command &command : commands) {
        text += std::string("  ") + command.usage + "\n";
    }
    return text;
}

}
