#pragma once

#include "drivers/httplistener.h"
#include "drivers/httppool.h"
#include "tests/fakes/platformfakes.h"
#include "tests/soak/daemonprocess.h"
#include "tests/soak/faultproxy.h"
#include "tests/soak/guaranteechecker.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace citronspar::soak
{

/**
 * Runs entry daemon processes with test callers, test endpoints and a fake platform store, and injects random faults
 * into their connections and processes.
 */
class SoakTest
{
public:
    struct Options
    {
        std::string program;
        std::string directory;
        std::uint64_t seed = 1;
        /** First port of the range of 100 ports that the test uses. */
        int firstPort = 19700;
        /** Length of the phase in which faults are injected. */
        Duration faultDuration = std::chrono::seconds(20);
    };

private:
    /** A test endpoint that executes each accepted request after a random delay, reached through a fault proxy. */
    struct Endpoint
    {
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<FaultProxy> proxy;
        std::string instanceId;
        bool isReady = true;
        int incarnation = 0;
    };

    struct Daemon
    {
        std::unique_ptr<DaemonProcess> process;
        std::unique_ptr<FaultProxy> storeProxy;
        std::string httpAddress;
        std::string name;
    };

    Options m_options;
    Loop m_loop;
    fakes::FakeStore m_platformStore;
    HttpPool m_callerPool;
    GuaranteeChecker m_checker;
    std::vector<Endpoint> m_endpoints;
    std::vector<Daemon> m_daemons;
    std::mt19937_64 m_random;
    std::int64_t m_configVersion = 1;
    std::string m_newestConfig;
    bool m_hasStoreCopy = false;
    std::int64_t m_lastRequestId = 0;
    bool m_isSecondKeyValid = true;
    bool m_hasFaultPhaseEnded = false;
    int m_completedAfterFaults = 0;

    std::string addressAt(int offset) const;
    int randomBelow(int limit);
    Duration randomDuration(int fromMs, int toMs);

    void publishConfig();
    void publishEndpoint(std::size_t index, bool isReady);
    void handleRequest(std::size_t index, HttpListener::ExchangeId id, const HttpIncomingRequest &request);
    void sendResponse(std::size_t index, HttpListener::ExchangeId id, const std::string &requestId, int firstEvent);

    void sendRequest();
    void handleResponse(const std::string &id, HttpCallResult result, const HttpHead &head, const std::string &body);

    void injectFault();
    void injectLinkFault(FaultProxy &proxy);
    void injectDaemonFault(Daemon &daemon);
    void injectStoreFault();
    /** The store comes back from an older copy. */
    void restoreStore();
    void changeConfig();
    void replaceEndpoint();
    void restartExitedDaemons();
    void clearFaults();
    void runFor(Duration duration);

    bool startDaemons();

public:
    explicit SoakTest(Options options);

    /** Runs the test for the configured seed and returns the violations that were found. */
    std::vector<std::string> execute();

    /** Returns a one-line summary with the numbers of requests and of complete responses. */
    std::string summary() const;
};

}
