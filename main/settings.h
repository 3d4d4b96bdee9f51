#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** The promises of the platform that a daemon keeps, and what it may use there. */
struct PlatformSettings
{
    /** The address that the platform asks whether the daemon is ready; empty for an endpoint daemon. */
    std::string readyListen;
    std::string metricsListen;
    /** The port at which the daemon beside each engine listens for other daemons. */
    int peerPort = 0;
    /** A withdrawn key runs nothing after this time. */
    Duration keyRevocation = std::chrono::seconds(5);
    /** From SIGTERM to SIGKILL. */
    Duration stopGrace = std::chrono::seconds(8);
    /** No request begins on older weights after this time. */
    Duration weightsDeadline = std::chrono::seconds(8);
    /** Entries of endpoints that lapsed in an outage of the store are back after this time. */
    Duration returnGrace = std::chrono::seconds(2);
    /** Repeats of requests over all daemons: a share of the requests plus a number, in a window. */
    double retryShare = 0.2;
    double retrySlack = 20;
    /** Over all daemons: what a client account may get beyond its rate, as a share and as a number. */
    double quotaOvershoot = 0.1;
    double quotaSlack = 0;
    Duration quotaWindow = std::chrono::seconds(8);
};

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
    /** Set when the daemon runs on the users' platform. */
    std::optional<PlatformSettings> platform;
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
