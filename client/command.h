#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** Options and positional arguments of the citronspar command line. */
struct CommandLine
{
    std::string daemon = "127.0.0.1:8080";
    std::string keyFile;
    std::string reason;
    std::int64_t expectedVersion = -1;
    bool isJson = false;
    std::vector<std::string> arguments;
};

/** A request to the operator API. */
struct OperatorCall
{
    std::string path;
    nlohmann::json body = nlohmann::json::object();
    /** API key generated for this command, to be printed once; empty for other commands. Only its digest is sent. */
    std::string newKey;
};

/** Parses command lines into operator API calls. */
class CommandParser
{
private:
    std::string m_lastError;

public:
    /** Returns the call for @p line, or nullopt if the command is unknown or its arguments are invalid; see lastError(). */
    std::optional<OperatorCall> parse(const CommandLine &line);

    const std::string &lastError() const;

    /** Returns the help text, with one line per command. */
    static std::string help();
};

}
