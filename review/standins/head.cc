// A key is taken away from connected callers, which use HEAD and GET on kept connections.
#include "standins.hh"

using namespace standins;

namespace
{

constexpr int callerCount = 5;

struct Outcome
{
    /** Whether each answer was one in the protocol. */
    bool isSound = true;
    int answers = 0;
};

/** Reads one answer to the request as RFC 9112, section 6.3, says: one to HEAD has no body, whatever its Content-Length. */
bool readAnswer(Connection &connection, const std::string &method, Message &response)
{
    if (!connection.readHead(response, 5)) {
        return false;
    }
    const std::string length = response.get("Content-Length");
    return method == "HEAD" || length.empty() || connection.readBytes(static_cast<std::size_t>(std::atoll(length.c_str())), response.body, 5);
}

void ask(Connection &connection, const std::string &method, const std::string &key, const std::string &id, Outcome &outcome)
{
    if (!outcome.isSound) {
        return;
    }
    connection.write(method + " /orders/17 HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
                     + "\r\nCitronspar-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n\r\n");
    Message response;
    if (!readAnswer(connection, method, response)) {
        record.line(method + " " + id + ": no answer");
        outcome.isSound = false;
        return;
    }
    record.line(method + " " + id + " with " + key + ": " + response.start + " (Citronspar-Request-Id " + response.get("Citronspar-Request-Id")
                + ", Content-Length " + response.get("Content-Length") + ")");
    ++outcome.answers;
    if (response.start.rfind("HTTP/1.1 ", 0) != 0) {
        record.line("these are bytes that are no answer in the protocol");
        outcome.isSound = false;
    } else if (response.get("Citronspar-Request-Id") != id) {
        record.line("the answer belongs to another request");
        outcome.isSound = false;
    }
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.25.1";
    const std::string runnerIp = "127.0.25.2";
    Store store;
    Store::Door &door = store.addDoor("127.0.25.9");
    const int front = freePort({entryIp});
    const int ready = freePort({entryIp});
    const int metrics = freePort({entryIp});
    const int peer = freePort({entryIp});
    const int runnerPort = freePort({runnerIp});
    const auto serve = [](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            const std::string id = request.get("Citronspar-Request-Id");
            record.line("runner runs " + request.method() + " " + id);
            const std::string head = "\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Server-Seal: seal\r\n";
            // An order exists: 204 to both methods, and a body to neither.
            connection.write("HTTP/1.1 204 No Content" + head + "\r\n");
        }
    };
    Server runner(runnerIp, runnerPort, serve);
    runner.open();
    store.put("servers", "i-1",
              json({{"service", "app"}, {"addr", runnerIp + ":" + std::to_string(runnerPort)}, {"zone", "zone-a"}, {"version", "v1"},
                    {"slots", 64}, {"state", "ready"}, {"coldLeftMs", 0}, {"sequence", 1}, {"born", unixMs()}})
                  .dump());
    const auto config = [](int version, const json &keys) {
        return json({{"version", version},
                    {"routes",
                     {{{"name", "orders"}, {"host", "h.example"}, {"prefix", "/orders/"}, {"routeKind", "idempotent"}, {"timeoutMs", 2000},
                       {"targetLatencyMs", 100}, {"priority", 0}, {"service", "app"}, {"maxAttempts", 2}, {"public", false},
                       {"sticky", false}}}},
                    {"services", {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
                    {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
                    {"tenants", {{{"name", "mill-one"}, {"apiKeys", keys}, {"priority", 1}, {"ratePerS", 0}, {"burst", 0}}}}})
            .dump();
    };
    store.put("op", "config", config(1, {"key-old", "key-new"}));
    Daemons daemons;
    daemons.start(entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address()));
    waitUntilReady(entryIp, ready);

    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<Outcome> outcomes(callerCount);
    const auto askAll = [&](const std::string &method, const std::string &key, const std::string &prefix) {
        for (int i = 0; i < callerCount; ++i) {
            ask(*connections[static_cast<std::size_t>(i)], method, key, prefix + std::to_string(i), outcomes[static_cast<std::size_t>(i)]);
        }
    };
    for (int i = 0; i < callerCount; ++i) {
        connections.push_back(connectTo(entryIp, front));
        if (connections.back() == nullptr) {
            giveUp("no connection to the entry daemon");
        }
    }
    askAll("GET", "key-old", "a");
    askAll("HEAD", "key-old", "b");
    if (hasTrouble()) {
        store.put("op", "config", config(2, json::array({"key-new"})));
        record.line("configuration 2 acknowledged: key-old is taken away");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    askAll("HEAD", "key-old", "c");
    askAll("GET", "key-new", "d");
    int brokenCount = 0;
    for (const Outcome &outcome : outcomes) {
        brokenCount += outcome.isSound ? 0 : 1;
        if (outcome.answers < 2) {
            record.line("the service was not reached before the disruption");
            daemons.finish(2);
        }
    }
    record.line((brokenCount > 0 ? "MIXED: " : "the rule held: ") + std::to_string(brokenCount) + " of " + std::to_string(callerCount)
                + " callers got bytes that are no answer in the protocol, or that belong to another request");
    daemons.finish(brokenCount > 0 ? 1 : 0);
}
