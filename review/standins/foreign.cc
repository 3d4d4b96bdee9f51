// Another writer leaves an entry with an unknown service, at the address of a runner that is at work, in the table of runners.
// A route is added just before, which concerns none of the requests.
#include "standins.hh"

using namespace standins;

namespace
{

constexpr int callerCount = 8;
constexpr int eventCount = 40;
constexpr double eventPause = 0.1;

struct Outcome
{
    bool isKept = false;
    bool isComplete = false;
    std::string text;
};

/** Sends a lookup, and then a stream on the same connection. */
void call(const std::string &ip, int port, int number, Outcome &outcome)
{
    const std::string id = std::to_string(number);
    const std::unique_ptr<Connection> connection = connectTo(ip, port);
    Message response;
    if (connection == nullptr
        || !connection->write("GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: l" + id
                              + "\r\nCitronspar-Deadline-Ms: 2000\r\n\r\n")
        || !connection->readMessage(response, 5) || response.status() != 200) {
        return;
    }
    outcome.isKept = true;
    connection->write("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: s" + id
                      + "\r\nCitronspar-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi");
    record.line("caller sends s" + id + " on the connection on which it got the answer to l" + id);
    if (!connection->readHead(response, 10)) {
        outcome.text = "no answer: the connection ended";
    } else if (response.get("Transfer-Encoding") != "chunked") {
        outcome.text = response.start;
        outcome.isComplete = true;
    } else {
        int chunks = 0;
        std::string chunk;
        while (connection->readChunk(chunk, 5)) {
            if (chunk.empty()) {
                outcome.isComplete = true;
                break;
            }
            ++chunks;
        }
        outcome.text = response.start + ", " + std::to_string(chunks) + " of " + std::to_string(eventCount) + " events"
            + (outcome.isComplete ? ", complete" : ", then the connection ended");
    }
    record.line("caller of s" + id + ": " + outcome.text);
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.23.1";
    const std::string runnerIp = "127.0.23.2";
    Store store;
    Store::Door &door = store.addDoor("127.0.23.9");
    const int front = freePort({entryIp});
    const int ready = freePort({entryIp});
    const int metrics = freePort({entryIp});
    const int peer = freePort({entryIp});
    const int runnerPort = freePort({runnerIp});
    const std::string runnerAddress = runnerIp + ":" + std::to_string(runnerPort);
    std::atomic<int> cutOffCount{0};

    Server runner(runnerIp, runnerPort, [&cutOffCount](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            const std::string id = request.get("Citronspar-Request-Id");
            const std::string head = "HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Server-Seal: seal\r\n";
            record.line("runner runs " + id);
            if (request.target().rfind("/lookup/", 0) == 0) {
                connection.write(head + "Content-Length: 2\r\n\r\nok");
                continue;
            }
            connection.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= eventCount; ++event) {
                std::this_thread::sleep_for(std::chrono::duration<double>(eventPause));
                const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                if (!connection.write(size + text + "\r\n")) {
                    record.line("runner, at work on event " + std::to_string(event) + " of " + id + ": the entry daemon has closed the connection");
                    ++cutOffCount;
                    return;
                }
            }
            connection.write("0\r\n\r\n");
        }
    });
    runner.open();
    const std::int64_t born = unixMs();
    store.put("servers", "i-1",
              json({{"service", "app"}, {"addr", runnerAddress}, {"zone", "zone-a"}, {"version", "v1"}, {"slots", 64}, {"state", "ready"},
                    {"coldLeftMs", 0}, {"sequence", 1}, {"born", born}})
                  .dump());
    const auto route = [](const char *name, const char *prefix, const char *kind) {
        return json{{"name", name}, {"host", "h.example"}, {"prefix", prefix}, {"routeKind", kind}, {"timeoutMs", 15000},
                    {"targetLatencyMs", 1000}, {"priority", 0}, {"service", "app"}, {"maxAttempts", 1}, {"public", true},
                    {"sticky", false}, {"resumable", false}, {"gapTargetMs", 500}};
    };
    const auto config = [](int version, const json &routes) {
        return json({{"version", version},
                    {"routes", routes},
                    {"services", {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
                    {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}})
            .dump();
    };
    json routes = {route("chat", "/chat/", "stream"), route("lookup", "/lookup/", "idempotent")};
    store.put("op", "config", config(1, routes));
    Daemons daemons;
    daemons.start(entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address()));
    waitUntilReady(entryIp, ready);

    std::vector<Outcome> outcomes(callerCount);
    std::vector<std::thread> callers;
    const double startedAt = now();
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i]() {
            call(entryIp, front, i, outcomes[static_cast<std::size_t>(i)]);
        });
    }
    // Planned work with no effect on these requests, with and without the disruption.
    sleepUntil(startedAt + 1.5);
    routes.push_back(route("other", "/other/", "idempotent"));
    store.put("op", "config", config(2, routes));
    record.line("configuration 2 acknowledged: a route is added");
    sleepUntil(startedAt + 2);
    if (hasTrouble()) {
        const json foreign = {{"service", "inventory"}, {"addr", runnerAddress}, {"zone", "zone-a"}, {"version", "v1"}, {"slots", 1},
                              {"state", "ready"}, {"coldLeftMs", 0}, {"sequence", 1}, {"born", unixMs()}};
        store.put("servers", "inventory-7", foreign.dump());
        record.line("another writer's entry: servers/inventory-7 " + foreign.dump());
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    // The runner still serves. What the entry daemon makes of later requests is recorded, but not judged.
    for (int i = 0; i < 3; ++i) {
        const std::unique_ptr<Connection> connection = connectTo(entryIp, front);
        Message response;
        if (connection != nullptr
            && connection->write("GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: late" + std::to_string(i)
                                 + "\r\nCitronspar-Deadline-Ms: 2000\r\n\r\n")
            && connection->readMessage(response, 5)) {
            record.line("caller of late" + std::to_string(i) + ": " + response.start + " " + response.body.substr(0, response.body.find('\n')));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    int lostCount = 0;
    for (const Outcome &outcome : outcomes) {
        if (!outcome.isKept) {
            record.line("a lookup was not answered");
            daemons.finish(2);
        }
        lostCount += outcome.isComplete ? 0 : 1;
    }
    record.line((lostCount > 3 ? "LOST: " : "the rule held: ") + std::to_string(lostCount) + " of " + std::to_string(callerCount)
                + " requests from kept connections were passed on to the sound runner and their connections closed without a complete answer"
                  " (more than three break the rule)");
    daemons.finish(lostCount > 3 ? 1 : 0);
}
