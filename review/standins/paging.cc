// All processes are killed after the list of runners has grown beyond what one answer of the store holds.
#include "standins.hh"

using namespace standins;

namespace
{

constexpr int entriesAtFirst = 480;
constexpr int entriesLater = 520;
constexpr double recoverS = 12;
constexpr int requestsPerPhase = 40;

std::string idOf(int number)
{
    char text[16];
    std::snprintf(text, sizeof text, "i-%05d", number);
    return text;
}

int servedOf(const std::string &ip, int port, const std::string &prefix)
{
    int served = 0;
    std::string last;
    for (int i = 0; i < requestsPerPhase; ++i) {
        const std::unique_ptr<Connection> connection = connectTo(ip, port);
        Message response;
        const std::string request = "GET /orders/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + prefix + std::to_string(i)
            + "\r\nCitronspar-Deadline-Ms: 600\r\nConnection: close\r\n\r\n";
        if (connection != nullptr && connection->write(request) && connection->readMessage(response, 2)) {
            served += response.status() == 200 ? 1 : 0;
            last = response.start + " " + response.body.substr(0, response.body.find('\n'));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    record.line("requests " + prefix + ": " + std::to_string(served) + " of " + std::to_string(requestsPerPhase) + " served; the last: " + last);
    return served;
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.28.1";
    const std::string runnerIp = "127.0.28.2";
    Store store;
    Store::Door &door = store.addDoor("127.0.28.9");
    const int front = freePort({entryIp});
    const int ready = freePort({entryIp});
    const int metrics = freePort({entryIp});
    const int peer = freePort({entryIp});
    const int runnerPort = freePort({runnerIp});
    Server runner(runnerIp, runnerPort, [](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + request.get("Citronspar-Request-Id")
                             + "\r\nCitronspar-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    runner.open();
    const auto writeEntry = [&](int number) {
        const std::string address = number == 0 ? runnerIp + ":" + std::to_string(runnerPort)
                                                : "127.0." + std::to_string(100 + number / 250) + "." + std::to_string(1 + number % 250) + ":8080";
        store.put("servers", idOf(number),
                  json({{"service", number == 0 ? "app" : "others"}, {"addr", address}, {"zone", "zone-a"}, {"version", "v1"}, {"slots", 8},
                        {"state", "ready"}, {"coldLeftMs", 0}, {"sequence", 1}, {"born", 1700000000000 + number}})
                      .dump());
    };
    for (int i = 0; i < entriesAtFirst; ++i) {
        writeEntry(i);
    }
    const auto route = [](const char *name, const char *prefix, const char *service) {
        return json{{"name", name}, {"host", "h.example"}, {"prefix", prefix}, {"routeKind", "idempotent"}, {"timeoutMs", 600},
                    {"targetLatencyMs", 100}, {"priority", 0}, {"service", service}, {"maxAttempts", 2}, {"public", true}, {"sticky", false}};
    };
    const auto config = [&](int version) {
        return json({{"version", version},
                     {"routes", {route("orders", "/orders/", "app"), route("others", "/others/", "others")}},
                     {"services",
                      {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}},
                       {{"name", "others"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}})
            .dump();
    };
    store.put("op", "config", config(1));
    Daemons daemons;
    const json settings = entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address());
    const pid_t first = daemons.start(settings);
    waitUntilReady(entryIp, ready);
    const int servedAtFirst = servedOf(entryIp, front, "a");
    for (int i = entriesAtFirst; i < entriesLater; ++i) {
        writeEntry(i);
    }
    record.line("the list has grown to " + std::to_string(entriesLater) + " runners");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const int servedBefore = servedOf(entryIp, front, "b");
    store.put("op", "config", config(2));
    record.line("configuration 2 acknowledged");
    if (hasTrouble()) {
        ::kill(first, SIGKILL);
        record.line("all processes are killed");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        daemons.start(settings);
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(recoverS));
    const int servedAfter = servedOf(entryIp, front, "c");
    if (servedAtFirst * 4 < requestsPerPhase || servedBefore * 4 < requestsPerPhase) {
        record.line("the service did not work before");
        daemons.finish(2);
    }
    const bool isBroken = servedAfter * 4 < requestsPerPhase;
    record.line((isBroken ? "RECOVER: " : "the rule held: ") + std::to_string(servedAfter) + " of " + std::to_string(requestsPerPhase)
                + " requests are served later than recoverS after the start");
    daemons.finish(isBroken ? 1 : 0);
}
