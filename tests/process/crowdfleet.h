#pragma once

#include "drivers/httppool.h"
#include "tests/fakes/platformfakes.h"
#include "tests/process/processusage.h"
#include "tests/soak/daemonprocess.h"

#include <optional>
#include <string>

namespace citronspar::crowds
{

/** An entry daemon and an endpoint daemon as processes, with fakes of the store, of an endpoint and of an engine in the test process. */
class CrowdFleet
{
public:
    static constexpr const char *frontAddress = "127.0.0.1:18961";
    static constexpr const char *readyAddress = "127.0.0.1:18962";
    static constexpr const char *entryMetricsAddress = "127.0.0.1:18963";
    static constexpr const char *entryPeerAddress = "127.0.0.1:18964";
    static constexpr const char *storeAddress = "127.0.0.1:18965";
    static constexpr const char *serviceAddress = "127.0.0.1:18966";
    static constexpr const char *engineAddress = "127.0.0.1:18967";
    static constexpr const char *endpointPeerAddress = "127.0.0.1:18968";
    static constexpr const char *endpointMetricsAddress = "127.0.0.1:18969";
    /** The endpoint of the service that the routes "/faulty/" and "/faulty-stream/" lead to. Tests open it themselves. */
    static constexpr const char *faultyAddress = "127.0.0.1:18970";
    /** The KV store of the configuration. Tests open it themselves. */
    static constexpr const char *kvStoreAddress = "127.0.0.1:18971";

    static constexpr std::size_t maxBodyBytes = 2U * 1024 * 1024;
    static constexpr std::size_t maxDescriptors = 128;
    static constexpr int memoryMb = 88;

    /** What the daemons are told about their VM besides its memory. */
    struct VmSettings
    {
        /** 0 leaves the setting out. */
        int intakeMemoryMb = 12;
        std::size_t maxDescriptors = CrowdFleet::maxDescriptors;
        /** Else tests open engineAddress themselves. */
        bool hasEngine = true;
    };

private:
    Loop &m_loop;
    fakes::FakeStore m_store;
    fakes::FakeEndpoint m_service;
    std::optional<fakes::FakeEndpoint> m_engine;
    HttpPool m_callers;
    soak::DaemonProcess m_entry;
    soak::DaemonProcess m_endpoint;

public:
    /** @param folder receives the settings and logs of the daemons */
    CrowdFleet(Loop &loop, const std::string &program, const std::string &folder, const VmSettings &vm);

    /** Starts the daemons. Returns false if no request is answered. */
    bool start();

    /** Sends an ordinary request with a body of @p bodyBytes and returns the status of its response, or 0. */
    int sendRequest(std::size_t bodyBytes);

    /** Whether one of @p attempts ordinary requests of a small body is answered. */
    bool isServing(int attempts);

    /** Makes the endpoint answer, or leave requests unanswered. */
    void setAnswering(bool isAnswering);

    /** Whether both daemons are running. */
    bool isAlive();

    ProcessUsage entryUsage() const;
    ProcessUsage endpointUsage() const;

    void runFor(Duration time);
};

}
