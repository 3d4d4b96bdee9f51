// The store comes back from an older copy, while an entry daemon that was killed starts again.
#include "standins.hh"

using namespace standins;

namespace
{

constexpr double revokeS = 5;
// In this time after the store's return the operator notices it and writes again what the copy lacks.
constexpr double rewriteS = 0.8;

std::mutex runMutex;
std::set<std::string> runs;

int call(const std::string &ip, int port, const std::string &id, const std::string &key)
{
    const std::unique_ptr<Connection> connection = connectTo(ip, port);
    Message response;
    const std::string request = "POST /orders/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
        + "\r\nCitronspar-Deadline-Ms: 600\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    if (connection == nullptr || !connection->write(request) || !connection->readMessage(response, 2)) {
        return 0;
    }
    return response.status();
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.27.1";
    const std::string runnerIp = "127.0.27.2";
    Store store;
    Store::Door &door = store.addDoor("127.0.27.9");
    const int front = freePort({entryIp});
    const int ready = freePort({entryIp});
    const int metrics = freePort({entryIp});
    const int peer = freePort({entryIp});
    const int runnerPort = freePort({runnerIp});
    Server runner(runnerIp, runnerPort, [](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            const std::string id = request.get("Citronspar-Request-Id");
            {
                const std::lock_guard<std::mutex> lock(runMutex);
                runs.insert(id);
            }
            record.line("runner runs " + id + " for " + request.get("Citronspar-Tenant"));
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id
                             + "\r\nCitronspar-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    runner.open();
    store.put("servers", "i-1",
              json({{"service", "app"}, {"addr", runnerIp + ":" + std::to_string(runnerPort)}, {"zone", "zone-a"}, {"version", "v1"},
                    {"slots", 64}, {"state", "ready"}, {"coldLeftMs", 0}, {"sequence", 1}, {"born", unixMs()}})
                  .dump());
    const auto config = [](int version, const json &keys) {
        return json({{"version", version},
                     {"routes",
                      {{{"name", "orders"}, {"host", "h.example"}, {"prefix", "/orders/"}, {"routeKind", "non_idempotent"}, {"timeoutMs", 600},
                        {"targetLatencyMs", 100}, {"priority", 0}, {"service", "app"}, {"maxAttempts", 1}, {"public", false},
                        {"sticky", false}}}},
                     {"services", {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
                     {"tenants", {{{"name", "mill-one"}, {"apiKeys", keys}, {"priority", 1}, {"ratePerS", 0}, {"burst", 0}}}}})
            .dump();
    };
    store.put("op", "config", config(1, {"key-old", "key-new"}));
    Daemons daemons;
    const json settings = entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address());
    const pid_t first = daemons.start(settings);
    waitUntilReady(entryIp, ready);

    record.line("key-old before: " + std::to_string(call(entryIp, front, "a1", "key-old")));
    store.copy();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    store.put("op", "config", config(2, json::array({"key-new"})));
    const double takenAt = now();
    record.line("configuration 2 acknowledged: key-old is taken away");
    sleepUntil(takenAt + 2.5);
    record.line("key-old 2.5 s later: " + std::to_string(call(entryIp, front, "b1", "key-old")));

    sleepUntil(takenAt + revokeS + 0.5);
    ::kill(first, SIGKILL);
    record.line("entry-1 is killed");
    if (hasTrouble()) {
        store.goAway();
        record.line("the store goes away");
    }
    sleepUntil(takenAt + revokeS + 1.5);
    if (hasTrouble()) {
        store.comeBack();
        record.line("the store is back, from a copy of before configuration 2, with Store-Era 2");
    }
    const double backAt = now();
    daemons.start(settings);
    std::vector<std::string> sent;
    int newServed = 0;
    bool isRewritten = !hasTrouble();
    for (int i = 0; now() < backAt + 3; ++i) {
        if (!isRewritten && now() >= backAt + rewriteS) {
            isRewritten = true;
            store.put("op", "config", config(2, json::array({"key-new"})));
            record.line("the operator has written configuration 2 again");
        }
        const std::string id = "c" + std::to_string(i);
        const double sentAt = now();
        const int status = call(entryIp, front, id, "key-old");
        if (status != 0) {
            sent.push_back(id);
            record.line("key-old, sent " + std::to_string(sentAt - takenAt) + " s after the acknowledgement, " + id + ": " + std::to_string(status));
        }
        newServed += call(entryIp, front, "n" + std::to_string(i), "key-new") == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    record.line("served with key-new after the start: " + std::to_string(newServed));
    if (newServed == 0) {
        record.line("the entry daemon served nothing after its start");
        daemons.finish(2);
    }
    int brokenCount = 0;
    for (const std::string &id : sent) {
        brokenCount += runs.count(id) > 0 ? 1 : 0;
    }
    record.line((brokenCount > 0 ? "CONFIG: " : "the rule held: ") + std::to_string(brokenCount)
                + " requests ran that were sent with the key later than revokeMs after the acknowledgement of the configuration that took it away");
    daemons.finish(brokenCount > 0 ? 1 : 0);
}
