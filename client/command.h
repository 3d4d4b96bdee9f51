#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** What an operator asked for on the command line. */
struct CommandLine
{
    std::string daemon = "127.0.0.1:8080";
    std::string keyFile;
    std::string reason;
    std::int64_t expectedVersion = -1;
    bool isJson = false;
    std::vector<std::string> words;
};

/** The operator call that a command makes. */
struct OperatorCall
{
    std::string path;
    nlohmann::json body = nlohmann::json::object();
    /** A secret that was made for this command and is shown once. */
    std::string newKey;
};

/** Turns command lines into operator calls. */
class CommandReader
{
private:
    std::string m_lastReason;

public:
    /** The call for @p line; nothing when the command is not known or not whole. */
    std::optional<OperatorCall> read(const CommandLine &line);

    const std::string &lastReason() const;

    /** One line of help for each command. */
    static std::string help();
};

}
