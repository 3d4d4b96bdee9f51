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

std::string drawKey()
{
    std::array<unsigned char, keyBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return "sk-" + sha256Hex(std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size())).substr(0, 2 * keyBytes);
}

OperatorCall change(const CommandLine &line, const json &patch)
{
    OperatorCall call;
    call.path = "change";
    call.body["patch"] = patch;
    if (line.expectedVersion >= 0) {
        call.body["expectedVersion"] = line.expectedVersion;
    }
    return call;
}

using CallResult = std::optional<OperatorCall>;

CallResult readStatus(const CommandLine &, std::string &)
{
    return OperatorCall{"status", json::object(), std::string()};
}

CallResult readMetrics(const CommandLine &, std::string &)
{
    return OperatorCall{"metrics", json::object(), std::string()};
}

CallResult readConfigGet(const CommandLine &, std::string &)
{
    return OperatorCall{"config", json::object(), std::string()};
}

CallResult readConfigSet(const CommandLine &line, std::string &reason)
{
    std::ifstream file(line.words[2]);
    const json patch = json::parse(std::string(std::istreambuf_iterator<char>(file), {}), nullptr, false);
    if (!patch.is_object()) {
        reason = line.words[2] + ": not a JSON object";
        return std::nullopt;
    }
    return change(line, patch);
}

CallResult readExceptionAdd(const CommandLine &line, std::string &reason)
{
    const json values = json::parse(line.words[4], nullptr, false);
    if (line.reason.empty() || !values.is_object()) {
        reason = "an exception needs --reason and its values as a JSON object";
        return std::nullopt;
    }
    return change(line, {{"exceptions", {{line.words[2], {{"target", line.words[3]}, {"set", values}, {"reason", line.reason}}}}}});
}

CallResult readExceptionRemove(const CommandLine &line, std::string &)
{
    return change(line, {{"exceptions", {{line.words[2], nullptr}}}});
}

CallResult readKeyGrant(const CommandLine &line, std::string &)
{
    const std::string key = drawKey();
    OperatorCall call = change(line, {{"keys", {{line.words[2], {{"account", line.words[3]}, {"sha256", sha256Hex(key)}}}}}});
    call.newKey = key;
    return call;
}

CallResult readKeyWithdraw(const CommandLine &line, std::string &)
{
    return change(line, {{"keys", {{line.words[2], {{"isWithdrawn", true}}}}}});
}

CallResult readVmRetire(const CommandLine &line, std::string &)
{
    return change(line, {{"endpoints", {{line.words[2], {{"isRetired", true}}}}}});
}

CallResult readTimeline(const CommandLine &line, std::string &)
{
    OperatorCall call;
    call.path = "timeline";
    call.body["filter"] = line.words.size() > 1 ? line.words[1] : std::string();
    return call;
}

struct Command
{
    std::vector<std::string> words;
    std::size_t minWords;
    const char *usage;
    CallResult (*read)(const CommandLine &line, std::string &reason);
};

const std::array<Command, 10> commands = {{
    {{"status"}, 1, "status                                    state of the daemon that is asked", readStatus},
    {{"metrics"}, 1, "metrics                                   its counters and series", readMetrics},
    {{"config", "get"}, 2, "config get                                the newest configuration", readConfigGet},
    {{"config", "set"}, 3, "config set FILE                           merge FILE (RFC 7396) into the configuration", readConfigSet},
    {{"exception", "add"}, 5, "exception add ID TARGET JSON --reason R   add an exception to the defaults", readExceptionAdd},
    {{"exception", "remove"}, 3, "exception remove ID                       remove an exception", readExceptionRemove},
    {{"key", "grant"}, 4, "key grant ID ACCOUNT                      make a key, and show it once", readKeyGrant},
    {{"key", "withdraw"}, 3, "key withdraw ID                           withdraw a key", readKeyWithdraw},
    {{"vm", "retire"}, 3, "vm retire ENDPOINT                        give an endpoint no new work", readVmRetire},
    {{"timeline"}, 1, "timeline [REQUEST|ACCOUNT|DAEMON]         events of all daemons in order", readTimeline},
}};

bool hasWords(const CommandLine &line, const Command &command)
{
    for (std::size_t i = 0; i < command.words.size(); ++i) {
        if (i >= line.words.size() || line.words[i] != command.words[i]) {
            return false;
        }
    }
    return true;
}

}

std::optional<OperatorCall> CommandReader::read(const CommandLine &line)
{
    for (const Command &command : commands) {
        if (!hasWords(line, command)) {
            continue;
        }
        if (line.words.size() < command.minWords) {
            m_lastReason = std::string("usage: citronspar ") + command.usage;
            return std::nullopt;
        }
        return command.read(line, m_lastReason);
    }
    m_lastReason = "no such command; see --help";
    return std::nullopt;
}

const std::string &CommandReader::lastReason() const
{
    return m_lastReason;
}

std::string CommandReader::help()
{
    std::string text = "Commands:\n";
    for (const Command &command : commands) {
        text += std::string("  ") + command.usage + "\n";
    }
    return text;
}

}
