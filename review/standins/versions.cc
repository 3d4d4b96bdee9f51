// Two of three runners of a service start again, one after the other, as a newer software version under the id that each had.
#include "standins.hh"

using namespace standins;

namespace
{

constexpr int streamCount = 18;
constexpr int eventCount = 80;
constexpr double eventPause = 0.1;
constexpr double heartbeatS = 1.2;
constexpr int coldRunners = 4;
constexpr double coldS = 30;

/** A runner of a plain service. It writes its entry in the store as it starts; nothing but its sequence changes after that. */
class Runner
{
private:
    Store &m_store;
    std::string m_id;
    std::string m_ip;
    int m_port;
    std::mutex m_mutex;
    std::string m_version;
    std::int64_t m_born = 0;
    std::atomic<int> m_start{0};
    std::unique_ptr<Server> m_server;

    void serve(Connection &connection)
    {
        const int start = m_start;
        Message request;
        while (connection.readMessage(request) && m_start == start) {
            const std::string requestId = request.get("Citronspar-Request-Id");
            const std::string version = m_version;
            const std::string expected = request.get("Citronspar-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nCitronspar-Request-Id: " + requestId + "\r\nCitronspar-Instance-Id: "
                                 + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string last = request.get("Last-Event-Id");
            record.line(m_id + " (" + version + ") runs " + requestId + (last.empty() ? "" : " after event " + last));
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + requestId
                             + "\r\nCitronspar-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = std::atoi(last.c_str()) + 1; event <= eventCount; ++event) {
                std::this_thread::sleep_for(std::chrono::duration<double>(eventPause));
                const std::string text = "id: " + std::to_string(event) + "\ndata: " + version + " piece " + std::to_string(event) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                if (m_start != start || !connection.write(size + text + "\r\n")) {
                    return;
                }
            }
            connection.write("0\r\n\r\n");
        }
    }

    void writeEntry(const std::string &version)
    {
        m_store.put("servers", m_id,
                    json({{"service", "app"}, {"addr", m_ip + ":" + std::to_string(m_port)}, {"zone", "zone-a"}, {"version", version},
                          {"slots", 64}, {"state", "ready"}, {"coldLeftMs", 0}, {"sequence", 1}, {"born", m_born}})
                        .dump());
        record.line("entry of " + m_id + ": version " + version + ", born " + std::to_string(m_born));
    }

public:
    Runner(Store &store, std::string id, std::string ip)
        : m_store(store)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_port(freePort({m_ip}))
    {
    }

    /** Starts a process of this version under the same id. It registers itself, and serves. */
    void start(const std::string &version)
    {
        ++m_start;
        m_version = version;
        m_born = unixMs();
        writeEntry(version);
        m_server = std::make_unique<Server>(m_ip, m_port, [this](Connection &connection) {
            serve(connection);
        });
        m_server->open();
        record.line(m_id + " serves as " + version);
    }

    void stop()
    {
        record.line(m_id + " (" + m_version + ") ends");
        ++m_start;
        m_server->kill();
        // Threads that still run use it.
        m_server.release();
    }
};

/** Reads a stream and returns the versions of its events, in order of appearance. */
std::vector<std::string> readStream(const std::string &ip, int port, int number)
{
    std::vector<std::string> versions;
    const std::string id = "s" + std::to_string(number);
    const std::unique_ptr<Connection> connection = connectTo(ip, port);
    if (connection == nullptr) {
        return versions;
    }
    connection->write("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
                      + "\r\nCitronspar-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi");
    Message response;
    if (!connection->readHead(response, 10)) {
        return versions;
    }
    std::string text;
    std::string chunk;
    bool isComplete = false;
    while (response.get("Transfer-Encoding") == "chunked" && connection->readChunk(chunk, 5)) {
        if (chunk.empty()) {
            isComplete = true;
            break;
        }
        text += chunk;
    }
    int events = 0;
    std::string order;
    std::size_t position = 0;
    while ((position = text.find("data: ", position)) != std::string::npos) {
        position += 6;
        const std::string version = text.substr(position, 2);
        if (versions.empty() || versions.back() != version) {
            versions.push_back(version);
            order += (order.empty() ? "" : ", then ") + version + " from event " + std::to_string(events + 1);
        }
        ++events;
    }
    record.line("caller of " + id + " gets " + response.start + ": " + std::to_string(events) + " events, " + order
                + (isComplete ? ", complete" : ", broken off"));
    return versions;
}

}

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string entryIp = "127.0.22.1";
    Store store;
    Store::Door &door = store.addDoor("127.0.22.9");
    const int front = freePort({entryIp});
    const int ready = freePort({entryIp});
    const int metrics = freePort({entryIp});
    const int peer = freePort({entryIp});
    Runner first(store, "i-1", "127.0.22.2");
    Runner second(store, "i-2", "127.0.22.3");
    Runner third(store, "i-3", "127.0.22.4");
    first.start("v1");
    second.start("v1");
    third.start("v1");
    // Another service, whose short requests earn the entry daemon the right to send some requests again.
    const std::string lookupIp = "127.0.22.5";
    const int lookupPort = freePort({lookupIp});
    Server lookupRunner(lookupIp, lookupPort, [](Connection &connection) {
        Message request;
        while (connection.readMessage(request)) {
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + request.get("Citronspar-Request-Id")
                             + "\r\nCitronspar-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    lookupRunner.open();
    // Its runners have started lately: their entries change with coldLeftMs at each heartbeat.
    const std::int64_t lookupsBorn = unixMs();
    const auto writeLookupEntry = [&](int number) {
        const std::int64_t coldLeftMs = std::max<std::int64_t>(0, static_cast<std::int64_t>(coldS * 1000) - (unixMs() - lookupsBorn));
        store.put("servers", "i-" + std::to_string(10 + number),
                  json({{"service", number == 0 ? "lookups" : "reports"}, {"addr", lookupIp + ":" + std::to_string(lookupPort + number)},
                        {"zone", "zone-a"}, {"version", "v1"}, {"slots", 64}, {"state", "ready"}, {"coldLeftMs", coldLeftMs}, {"sequence", 1},
                        {"born", lookupsBorn}})
                      .dump());
    };
    for (int i = 0; i < coldRunners; ++i) {
        writeLookupEntry(i);
    }
    const auto route = [](const char *name, const char *prefix, const char *kind, const char *service, bool isResumable) {
        return json{{"name", name}, {"host", "h.example"}, {"prefix", prefix}, {"routeKind", kind}, {"timeoutMs", 15000},
                    {"targetLatencyMs", 1000}, {"priority", 0}, {"service", service}, {"maxAttempts", 2}, {"public", true},
                    {"sticky", false}, {"resumable", isResumable}, {"gapTargetMs", 500}};
    };
    store.put("op", "config",
              json({{"version", 1},
                    {"routes", {route("chat", "/chat/", "stream", "app", true), route("lookup", "/lookup/", "idempotent", "lookups", false)}},
                    {"services",
                     {{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}},
                      {{"name", "lookups"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}},
                      {{"name", "reports"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
                    {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}})
                  .dump());
    Daemons daemons;
    daemons.start(entrySettings("entry-1", entryIp, front, ready, metrics, peer, door.address()));
    waitUntilReady(entryIp, ready);

    std::atomic<bool> isOver{false};
    std::thread lookups([&]() {
        for (int i = 0; !isOver; ++i) {
            const std::unique_ptr<Connection> connection = connectTo(entryIp, front);
            Message response;
            if (connection != nullptr
                && connection->write("GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: l" + std::to_string(i)
                                     + "\r\nCitronspar-Deadline-Ms: 600\r\nConnection: close\r\n\r\n")) {
                connection->readMessage(response, 2);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(12));
        }
    });
    std::thread heartbeats([&]() {
        for (int i = 0; !isOver; ++i) {
            std::this_thread::sleep_for(std::chrono::duration<double>(heartbeatS / coldRunners));
            writeLookupEntry(i % coldRunners);
        }
    });
    const double startedAt = now();
    sleepUntil(startedAt + 1);
    std::vector<std::vector<std::string>> versions(streamCount);
    std::vector<std::thread> callers;
    for (int i = 0; i < streamCount; ++i) {
        callers.emplace_back([&, i]() {
            versions[static_cast<std::size_t>(i)] = readStream(entryIp, front, i);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (hasTrouble()) {
        sleepUntil(startedAt + 2.5);
        first.stop();
        sleepUntil(startedAt + 5.2);
        // The entry daemon has just been told of changes in the list.
        const int answers = store.listAnswers;
        while (store.listAnswers == answers && now() < startedAt + 8) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        const double backAt = now();
        first.start("v2");
        // The next one follows as soon as the first one serves.
        sleepUntil(backAt + 0.2);
        second.stop();
        sleepUntil(backAt + 3);
        second.start("v2");
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    isOver = true;
    lookups.join();
    heartbeats.join();
    int mixedCount = 0;
    int begunCount = 0;
    for (const std::vector<std::string> &stream : versions) {
        begunCount += stream.empty() ? 0 : 1;
        mixedCount += stream.size() > 1 ? 1 : 0;
    }
    if (begunCount < streamCount) {
        record.line("not all streams began");
        daemons.finish(2);
    }
    record.line((mixedCount > 2 ? "ORDER: " : "the rule held: ") + std::to_string(mixedCount) + " of " + std::to_string(streamCount)
                + " streams hold events from runners of two software versions (more than two break the rule)");
    daemons.finish(mixedCount > 2 ? 1 : 0);
}
