// The configuration makes a client account isolated, whose prompts have a part in common with those of another account.
#include "standins.hh"

using namespace standins;

namespace
{

std::mutex cacheMutex;
/** Who made each cached part, by cache salt and part. */
std::map<std::pair<std::string, std::string>, std::string> cachedParts;
/** The requests that used a part that another account's request made. */
std::vector<std::string> foreignUses;

std::vector<std::string> partsOf(const std::string &prefix)
{
    std::vector<std::string> parts;
    std::size_t position = 0;
    while (position < prefix.size()) {
        std::size_t end = prefix.find(',', position);
        end = end == std::string::npos ? prefix.size() : end;
        parts.push_back(prefix.substr(position, end - position));
        position = end + 1;
    }
    return parts;
}

/** Reads the prompt: a part that is cached under the same salt is not prefilled again if all parts before it are cached too. */
void readPrompt(const Message &request)
{
    const std::lock_guard<std::mutex> lock(cacheMutex);
    const std::string salt = request.get("Citronspar-Cache-Salt");
    const std::string account = request.get("Citronspar-Tenant");
    const std::string id = request.get("Citronspar-Request-Id");
    bool isCached = true;
    for (const std::string &part : partsOf(request.get("Citronspar-Prompt-Prefix"))) {
        const auto found = cachedParts.find({salt, part});
        isCached = isCached && found != cachedParts.end();
        if (isCached) {
            record.line("runner: " + id + " of " + account + " uses part " + part + " that a request of " + found->second + " made");
            if (found->second != account) {
                foreignUses.push_back(id + " of " + account + " used part " + part + " of " + found->second);
            }
        } else {
            record.line("runner: " + id + " of " + account + " reads part " + part);
            cachedParts[{salt, part}] = account;
        }
    }
}

json config(int version, bool isIsolated)
{
    const auto account = [](const char *name, const char *key, bool isIsolatedAccount) {
        return json{{"name", name}, {"apiKeys", {key}}, {"priority", 1}, {"unit", "tokens"}, {"plainTokens", 200},
                    {"isolated", isIsolatedAccount}, {"ratePerS", 187844}, {"burst", 187844}};
    };
    return {{"version", version},
            {"routes",
             {{{"name", "digest"}, {"host", "h.example"}, {"prefix", "/digest/"}, {"routeKind", "stream"}, {"timeoutMs", 6000},
               {"targetLatencyMs", 600}, {"priority", 1}, {"service", "llm"}, {"maxAttempts", 1}, {"public", false}, {"sticky", true},
               {"resumable", false}, {"gapTargetMs", 400}}}},
            {"services",
             {{{"name", "llm"}, {"healthPath", "/health"}, {"maxConns", 370}, {"protocol", "h1"}, {"tls", false},
               {"engine", {{"slots", 64}, {"kvCapacityTokens", 116035}, {"kvTokenBytes", 327680}, {"linkMbps", 550000.0},
                           {"models", {{{"name", "m0"}}}}}}}}},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
            {"tenants", {account("mill-one", "key-one", isIsolated), account("mill-two", "key-two", false)}}};
}

int call(const std::string &ip, int port, const std::string &id, const std::string &key)
{
    const std::unique_ptr<Connection> connection = connectTo(ip, port);
    Message response;
    if (connection == nullptr
        || !connection->write("POST /digest/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
                              + "\r\nCitronspar-Model: m0\r\nCitronspar-Token-Counts: 2500,20\r\nCitronspar-Prompt-Prefix: a1:1200,b2:1000,c-"
                              + id + ":300\r\nCitronspar-Deadline-Ms: 6000\r\nAuthorization: Bearer " + key
                              + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
        || !connection->readHead(response, 7)) {
        return 0;
    }
    while (connection->fill(7)) {
    }
    record.line("caller of " + id + ": " + response.start);
    return response.status();
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.26.1";
    const std::string engineIp = "127.0.26.2";
    Store store;
    Store::Door &door = store.addDoor("127.0.26.9");
    const int front = freePort({entryIp, engineIp});
    const int ready = freePort({entryIp, engineIp});
    const int metrics = freePort({entryIp, engineIp});
    const int peer = freePort({entryIp, engineIp});
    const int enginePort = freePort({engineIp});
    const std::int64_t born = unixMs();
    Server engine(engineIp, enginePort, [born](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            if (request.target() == "/citronspar/report") {
                const std::string report
                    = json({{"stage", "colocated"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
                            {"busy", false}, {"sequence", 0}, {"waiting", 0}, {"running", 0}, {"kvUsed", 0}, {"kvTotal", 116035},
                            {"handles", 0}, {"born", born}})
                          .dump();
                connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size())
                                 + "\r\n\r\n" + report);
                continue;
            }
            readPrompt(request);
            const std::string events = "id: 1\ndata: piece 1\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", events.size());
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + request.get("Citronspar-Request-Id")
                             + "\r\nCitronspar-Server-Seal: seal\r\nCitronspar-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                             + size + events + "\r\n0\r\n\r\n");
        }
    });
    engine.open();
    store.put("servers", "i-1",
              json({{"service", "llm"}, {"addr", engineIp + ":" + std::to_string(enginePort)}, {"zone", "zone-a"}, {"version", "v1"},
                    {"slots", 64}, {"state", "ready"}, {"coldLeftMs", 0}, {"stage", "colocated"},
                    {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}}, {"sequence", 1}, {"born", born}})
                  .dump());
    store.put("op", "config", config(1, false).dump());
    Daemons daemons;
    daemons.start(endpointSettings("side-1", engineIp, enginePort, metrics, peer, door.address()));
    daemons.start(entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address()));
    waitUntilReady(entryIp, ready);
    std::this_thread::sleep_for(std::chrono::seconds(2));

    bool isServed = true;
    isServed = call(entryIp, front, "r1", "key-one") == 200 && isServed;
    if (hasTrouble()) {
        store.put("op", "config", config(2, true).dump());
        record.line("configuration 2 acknowledged: mill-one is isolated");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    const std::size_t usesBefore = foreignUses.size();
    isServed = call(entryIp, front, "r2", "key-one") == 200 && isServed;
    isServed = call(entryIp, front, "r3", "key-two") == 200 && isServed;
    if (!isServed) {
        record.line("a request was not served");
        daemons.finish(2);
    }
    const bool isBroken = hasTrouble() && foreignUses.size() > usesBefore;
    record.line(isBroken ? "WALL: " + foreignUses.back() + ", which is isolated" : "the rule held: no account is isolated, or no part was shared");
    daemons.finish(isBroken ? 1 : 0);
}
