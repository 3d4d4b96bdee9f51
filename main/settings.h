#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** What one process needs to know before it can ask anybody. */
struct Settings
{
    enum class Role {
        Entry,
        Endpoint,
    };

    Role role = Role::Entry;
    std::string daemon;
    std::string zone;
    std::string httpListen;
    std::string peerListen;
    std::string table;
    std::vector<std::string> seeds;
    std::string fleetSecret;
    std::string operatorKeySha256;
    std::string logLayout = "text";
    std::string logLevel = "INFO";
    std::string strategy;
    std::size_t maxBodyBytes = 0;
    std::size_t pieceBytes = 0;
    double bytesPerToken = 0;
    std::string engine;
    std::string service;
    std::string endpoint;
    std::size_t maxRunning = 0;
    double prefillTokensPerSecond = 0;
};

/** Reads settings from a JSON file and checks them. */
class SettingsReader
{
private:
    std::string m_lastReason;

public:
    /** Reads @p path; nothing when the file is missing or wrong. */
    std::optional<Settings> read(const std::string &path);

    /** What is wrong: the file, the place in it, and what was expected. */
    const std::string &lastReason() const;
};

}
