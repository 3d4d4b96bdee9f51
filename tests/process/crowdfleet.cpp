#include "tests/process/crowdfleet.h"

#include <fstream>
#include <utility>

namespace citronspar::crowds
{

namespace
{

using nlohmann::json;

constexpr Duration requestTimeout = std::chrono::seconds(5);
constexpr Duration pauseBetweenAttempts = std::chrono::milliseconds(200);
constexpr int attemptsUntilStarted = 100;

// Bodies stay open longer than any case runs on a slow machine, so that no case passes because a timeout was shorter than the load.
constexpr int headerTimeoutMs = 300000;

json makeRoute(const char *name, const char *prefix, const char *kind, const char *service)
{
    return {{"name", name},  {"host", "h"},        {"prefix", prefix}, {"routeKind", kind}, {"timeoutMs", 20000}, {"targetLatencyMs", 500},
            {"priority", 1}, {"service", service}, {"maxAttempts", 2}, {"public", false},   {"resumable", false}};
}

json makeConfig()
{
    return {
        {"version", 7},
        {"routes",
         {makeRoute("plain", "/plain/", "idempotent", "app"), makeRoute("faulty", "/faulty/", "idempotent", "faulty"),
          makeRoute("faulty-stream", "/faulty-stream/", "stream", "faulty")}},
        {"services",
         {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}},
          {{"name", "faulty"}, {"healthPath", "/health"}, {"maxConns", 1000}},
          {{"name", "kept"}, {"kvStoreAddr", CrowdFleet::kvStoreAddress}, {"zone", "a"}}}},
        {"limits", {{"maxBodyBytes", CrowdFleet::maxBodyBytes}, {"headerTimeoutMs", headerTimeoutMs}, {"idleTimeoutMs", headerTimeoutMs}}},
        {"tenants", {{{"name", "mine"}, {"apiKeys", {"good-key"}}, {"unit", "tokens"}, {"plainTokens", 1}}}}};
}

json makeEntry(const char *service, const char *address, int slots)
{
    return {{"service", service}, {"addr", address}, {"zone", "a"},   {"version", "v1"}, {"slots", slots},
            {"state", "ready"},   {"coldLeftMs", 0}, {"sequence", 1}, {"born", 1000}};
}

json makeSettings(bool isEntry, const CrowdFleet::VmSettings &vm)
{
    json platform = {{"peerPort", 18968},
                     {"metricsListen", isEntry ? CrowdFleet::entryMetricsAddress : CrowdFleet::endpointMetricsAddress},
                     {"memoryMb", CrowdFleet::memoryMb},
                     {"maxDescriptors", vm.maxDescriptors}};
    if (vm.intakeMemoryMb > 0) {
        platform["intakeMemoryMb"] = vm.intakeMemoryMb;
    }
    json settings = {{"role", isEntry ? "entry" : "endpoint"},
                     {"daemon", isEntry ? "entry-1" : "endpoint-1"},
                     {"zone", "a"},
                     {"peerListen", isEntry ? CrowdFleet::entryPeerAddress : CrowdFleet::endpointPeerAddress},
                     {"table", CrowdFleet::storeAddress},
                     {"fleetSecret", "a secret of the fleet"},
                     {"logLayout", "json"},
                     {"logLevel", "WARN"}};
    if (isEntry) {
        settings["httpListen"] = CrowdFleet::frontAddress;
        platform["readyListen"] = CrowdFleet::readyAddress;
    } else {
        settings["endpoint"] = "endpoint-1";
        settings["engine"] = CrowdFleet::engineAddress;
    }
    settings["platform"] = platform;
    return settings;
}

std::string writeSettings(const std::string &folder, bool isEntry, const CrowdFleet::VmSettings &vm)
{
    std::string path = folder + (isEntry ? "/entry.json" : "/endpoint.json");
    std::ofstream(path) << makeSettings(isEntry, vm).dump(2);
    return path;
}

}

CrowdFleet::CrowdFleet(Loop &loop, const std::string &program, const std::string &folder, const VmSettings &vm)
    : m_loop(loop)
    , m_store(loop, parseSocketAddress(storeAddress))
    , m_service(loop, parseSocketAddress(serviceAddress), "i-1")
    , m_callers(loop)
    , m_entry(program, writeSettings(folder, true, vm), folder + "/entry.log")
    , m_endpoint(program, writeSettings(folder, false, vm), folder + "/endpoint.log")
{
    if (vm.hasEngine) {
        m_engine.emplace(loop, parseSocketAddress(engineAddress), "i-2");
    }
    m_store.put("op", "config", makeConfig().dump());
    m_store.put("servers", "i-1", makeEntry("app", serviceAddress, 64).dump());
    m_store.put("servers", "i-3", makeEntry("faulty", faultyAddress, 1000).dump());
}

bool CrowdFleet::start()
{
    return m_entry.start() && m_endpoint.start() && isServing(attemptsUntilStarted);
}

int CrowdFleet::sendRequest(std::size_t bodyBytes)
{
    HttpCall call;
    call.target = parseSocketAddress(frontAddress);
    call.poolKey = "caller";
    call.maxIdle = Duration::zero();
    call.head.method = "POST";
    call.head.target = "/plain/x";
    call.head.set("Host", "h");
    call.head.set("Citronspar-Request-Id", "ordinary");
    call.head.set("Citronspar-Deadline-Ms", "5000");
    call.head.set("Authorization", "Bearer good-key");
    call.body = std::string(bodyBytes, 'b');
    int status = 0;
    m_callers.fetch(std::move(call), requestTimeout, [&](HttpCallResult result, const HttpHead &head, const std::string &) {
        status = result == HttpCallResult::Complete ? head.status : 0;
        m_loop.stop();
    });
    m_loop.run();
    m_service.received.clear();
    return status;
}

bool CrowdFleet::isServing(int attempts)
{
    constexpr std::size_t ordinaryBytes = 1000;
    constexpr int statusOk = 200;
    for (int i = 0; i < attempts; ++i) {
        if (sendRequest(ordinaryBytes) == statusOk) {
            return true;
        }
        runFor(pauseBetweenAttempts);
    }
    return false;
}

void CrowdFleet::setAnswering(bool isAnswering)
{
    m_service.behaviour = isAnswering ? fakes::FakeEndpoint::Behaviour::SendStream : fakes::FakeEndpoint::Behaviour::NoResponse;
}

bool CrowdFleet::isAlive()
{
    return !m_entry.reapUnexpectedExit() && !m_endpoint.reapUnexpectedExit() && m_entry.isRunning() && m_endpoint.isRunning();
}

ProcessUsage CrowdFleet::entryUsage() const
{
    return ProcessUsage::read(m_entry.processId());
}

ProcessUsage CrowdFleet::endpointUsage() const
{
    return ProcessUsage::read(m_endpoint.processId());
}

void CrowdFleet::runFor(Duration time)
{
    m_loop.timers().subscribeOnce(time, [this](TimePoint) {
        m_loop.stop();
    });
    m_loop.run();
}

}
