#pragma once

#include "core/time.h"
#include "servers/rollouts/rollout.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** Addresses, deadlines and limits that apply when the daemon runs on the platform whose protocol platform/names.h defines. */
struct PlatformSettings
{
    /** Listen address of the platform's readiness check; empty for an endpoint daemon. */
    std::string readyListen;
    std::string metricsListen;
    /** Port on which the endpoint daemon of each engine listens for other daemons. */
    int peerPort = 0;
    /** Time from the withdrawal of a key until no request of that key may be run. */
    Duration keyRevocation = std::chrono::seconds(5);
    /** Time between SIGTERM and SIGKILL. */
    Duration stopGrace = std::chrono::seconds(8);
    /** Time from a new weights version until no request may start on older weights. */
    Duration weightsDeadline = std::chrono::seconds(8);
    /** Time from the announcement that an endpoint leaves until no request may reach it. */
    Duration drainLimit = std::chrono::seconds(2);
    /** Time after a store outage within which expired endpoint entries are registered again; removals seen in it are delayed. */
    Duration returnGrace = std::chrono::seconds(2);
    /** Retry budget over all daemons in one window: a share of the requests plus a fixed number. */
    double retryShare = 0.2;
    double retrySlack = 20;
    /**
     * Amount by which a client account may exceed its rate over all daemons in one quotaWindow, as a share of what the
     * rate allows in the window and as a fixed number.
     */
    double quotaOvershoot = 0.1;
    double quotaSlack = 0;
    Duration quotaWindow = std::chrono::seconds(8);
    /**
     * Whether placement uses the measured speed of each engine, predicts the pauses of streams, and counts only the prompts that
     * an engine prefills before one of the same priority. Off by default, as it was not measured on all deployments.
     */
    bool usesEngineModel = false;
    /** Set if the operators' orders to roll out software versions are carried out. */
    std::optional<RolloutBounds> rollouts;
    /** Memory of the VM in MiB; 0 if unknown. */
    double memoryMb = 0;
    /** Descriptors that the process may open; 0 if unknown. */
    std::size_t maxDescriptors = 0;
    /** Bound on the bytes of requests and responses that wait in the daemon, in MiB; 0 derives it from memoryMb. */
    double intakeMemoryMb = 0;
};

/** Local settings of a process, needed before it can read the configuration of the fleet. */
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
    /** Set if the daemon runs on the platform, as ProxyRole or SidecarRole. */
    std::optional<PlatformSettings> platform;
};

/** Reads settings from a JSON file and validates them. */
class SettingsReader
{
private:
    std::string m_lastError;

public:
    /** Reads the file at @p path. Returns nullopt if it can't be read or is invalid; see lastError(). */
    std::optional<Settings> read(const std::string &path);

    /** The last error: file, location in the file and what was expected. */
    const std::string &lastError() const;
};

}
