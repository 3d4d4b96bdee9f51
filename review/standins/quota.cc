// Engines with their endpoint daemons, two entry daemons, and one client account that sends far more than its quota.
//
// quota FOLDER holders   the store turns one entry daemon's machine away while machines are added
// quota FOLDER lowered   the store gives two endpoint daemons no response for a second, in which the account's quota is lowered
// quota FOLDER large     the account sends single large requests, a little more than a second apart
#include "standins.hh"

#include <xxhash.h>

using namespace standins;

namespace
{

// The bounds of the first site.
constexpr double windowS = 8;
constexpr double overshoot = 0.1;
constexpr double slack = 110000;

// The quota of the example in the platform's pages, and the size of a long prompt of the first site.
double rate = 187844;
double burst = 187844;
// A tenant that sends many times its usual does so for 6.5 s, here twice.
constexpr double hotFactor = 7;
constexpr double hotS = 6.5;
constexpr int promptTokens = 9190;
int outputTokens = 17;

struct Run
{
    double sentAt = 0;
    double arrivedAt = 0;
    double tokens = 0;
};

std::mutex runMutex;
std::map<std::string, double> sentTimes;
std::vector<Run> runs;

/** An engine stand-in. It has an address of its own, on which its endpoint daemon listens too. */
class Engine
{
private:
    Store &m_store;
    std::string m_id;
    std::string m_ip;
    int m_port;
    std::int64_t m_born = unixMs();
    std::unique_ptr<Server> m_server;

    void serve(Connection &connection)
    {
        Message request;
        while (connection.readMessage(request)) {
            if (request.target() == "/citronspar/report") {
                const std::string report
                    = json({{"stage", "colocated"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
                            {"busy", false}, {"sequence", 0}, {"waiting", 0}, {"running", 0}, {"kvUsed", 0}, {"kvTotal", 116035},
                            {"handles", 0}, {"born", m_born}})
                          .dump();
                connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size())
                                 + "\r\n\r\n" + report);
                continue;
            }
            const std::string id = request.get("Citronspar-Request-Id");
            if (request.get("Citronspar-Expect-Instance") != m_id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Instance-Id: " + m_id
                                 + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard<std::mutex> lock(runMutex);
                runs.push_back(Run{sentTimes[id], now(), static_cast<double>(promptTokens + outputTokens)});
            }
            const std::string events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", events.size());
            connection.write("HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id
                             + "\r\nCitronspar-Server-Seal: seal\r\nCitronspar-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                             + size + events + "\r\n0\r\n\r\n");
        }
    }

public:
    Engine(Store &store, int number, int port)
        : m_store(store)
        , m_id("i-" + std::to_string(number))
        , m_ip(ipOf(number))
        , m_port(port)
    {
        m_server = std::make_unique<Server>(m_ip, m_port, [this](Connection &connection) {
            serve(connection);
        });
        m_server->open();
    }

    static std::string ipOf(int number)
    {
        return "127.0.24." + std::to_string(10 + number);
    }

    void writeEntry()
    {
        m_store.put("servers", m_id,
                    json({{"service", "llm"}, {"addr", m_ip + ":" + std::to_string(m_port)}, {"zone", "zone-a"}, {"version", "v1"},
                          {"slots", 64}, {"state", "ready"}, {"coldLeftMs", 0}, {"stage", "colocated"},
                          {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}}, {"sequence", 1}, {"born", m_born}})
                        .dump());
        record.line("entry of engine " + m_id + " at " + m_ip);
    }
};

/** The endpoint daemon that holds the account's quota: the choice that the entry daemons make. */
int holderOf(const std::string &account, int engines, int peer)
{
    int holder = 0;
    std::uint64_t best = 0;
    for (int i = 0; i < engines; ++i) {
        const std::string address = Engine::ipOf(i) + ":" + std::to_string(peer);
        const std::uint64_t seed = XXH3_64bits_withSeed(account.data(), account.size(), 0x40de);
        const std::uint64_t weight = XXH3_64bits_withSeed(address.data(), address.size(), seed);
        if (weight > best) {
            best = weight;
            holder = i;
        }
    }
    return holder;
}

json config(int version, const std::string &hot, double hotRate)
{
    json tenants = json::array();
    for (int i = 0; i < 5; ++i) {
        const std::string name = "account-" + std::to_string(i);
        const double own = name == hot ? hotRate : rate;
        tenants.push_back({{"name", name}, {"apiKeys", {"key-" + std::to_string(i)}}, {"priority", 1}, {"unit", "tokens"}, {"plainTokens", 200},
                           {"isolated", false}, {"ratePerS", own}, {"burst", own}});
    }
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
            {"tenants", tenants}};
}

std::mutex outcomeMutex;
std::map<std::string, std::map<int, int>> outcomes;

void callOnce(const std::string &ip, int port, int number, const std::string &key)
{
    const std::string id = "r" + std::to_string(number);
    const std::unique_ptr<Connection> connection = connectTo(ip, port);
    if (connection == nullptr) {
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(runMutex);
        sentTimes[id] = now();
    }
    Message response;
    int status = 0;
    if (connection->write("POST /digest/x HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
                          + "\r\nCitronspar-Model: m0\r\nCitronspar-Token-Counts: " + std::to_string(promptTokens) + ","
                          + std::to_string(outputTokens) + "\r\nCitronspar-Prompt-Prefix: a1:2520,b"
                          + std::to_string(number % 40) + ":3780,c" + std::to_string(number)
                          + ":2890\r\nCitronspar-Deadline-Ms: 6000\r\nAuthorization: Bearer " + key
                          + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
        && connection->readHead(response, 7)) {
        status = response.status();
        while (connection->fill(7)) {
        }
    }
    const std::lock_guard<std::mutex> lock(outcomeMutex);
    ++outcomes[ip][status];
}

/** The most tokens that were sent and run in a window that begins at @p from or later. */
std::pair<double, double> busiestWindow(double from, double windowTo)
{
    std::pair<double, double> best{0, from};
    for (const Run &first : runs) {
        const double start = first.sentAt;
        if (start < from || start + windowS > windowTo) {
            continue;
        }
        double tokens = 0;
        for (const Run &run : runs) {
            tokens += run.sentAt >= start && run.arrivedAt <= start + windowS ? run.tokens : 0;
        }
        if (tokens > best.first) {
            best = {tokens, start};
        }
    }
    return best;
}

double allowedIn(double ratePerS, double burstTokens)
{
    return (ratePerS * windowS + burstTokens) * (1 + overshoot) + slack;
}

}

int main(int argc, char **argv)
{
    const std::string mode = argc == 3 ? argv[2] : "";
    const bool isLowered = mode == "lowered";
    const bool isLarge = mode == "large";
    if (!isLowered && !isLarge && mode != "holders") {
        std::fprintf(stderr, "usage: quota FOLDER holders|lowered|large\n");
        return 2;
    }
    if (isLarge) {
        // The lowest quota of the first site, and requests that fit into the memory of its engines.
        rate = 29000;
        burst = 29000;
        outputTokens = 60000;
    }
    begin(2, argv);
    const int engineCount = 6;
    const int firstEngines = isLowered || isLarge ? engineCount : 3;
    std::vector<std::string> ips = {"127.0.24.1", "127.0.24.2"};
    for (int i = 0; i < engineCount; ++i) {
        ips.push_back(Engine::ipOf(i));
    }
    const int front = freePort(ips);
    const int ready = freePort(ips);
    const int metrics = freePort(ips);
    const int peer = freePort(ips);
    const int enginePort = freePort(ips);

    // In the mode "holders" the account is one of those whose holder changes as the machines are added; half of all accounts are.
    std::string hot;
    for (int i = 0; i < 5 && hot.empty(); ++i) {
        const std::string name = "account-" + std::to_string(i);
        if (isLowered || isLarge || holderOf(name, firstEngines, peer) != holderOf(name, engineCount, peer)) {
            hot = name;
        }
    }
    if (hot.empty()) {
        giveUp("no account's holder changes with these ports; run again");
    }
    const std::string key = "key-" + hot.substr(hot.size() - 1);

    Store store;
    store.put("op", "config", config(1, hot, rate).dump());
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<Store::Door *> engineDoors;
    Daemons daemons;
    for (int i = 0; i < engineCount; ++i) {
        engines.push_back(std::make_unique<Engine>(store, i, enginePort));
        engineDoors.push_back(&store.addDoor("127.0.24." + std::to_string(110 + i)));
        daemons.start(endpointSettings("side-" + std::to_string(i), Engine::ipOf(i), enginePort, metrics, peer, engineDoors.back()->address()));
        if (i < firstEngines) {
            engines.back()->writeEntry();
        }
    }
    std::vector<Store::Door *> entryDoors;
    for (int i = 0; i < 2; ++i) {
        entryDoors.push_back(&store.addDoor("127.0.24." + std::to_string(101 + i)));
        daemons.start(entrySettings("entry-" + std::to_string(i + 1), ips[static_cast<std::size_t>(i)], front, ready, metrics, peer,
                                    entryDoors.back()->address()));
    }
    waitUntilReady(ips[0], ready);
    waitUntilReady(ips[1], ready);
    record.line("the account is " + hot + ", its holder is side-" + std::to_string(holderOf(hot, firstEngines, peer)));

    const double startedAt = now() + 1;
    const double loadS = isLowered ? 28 : 18;
    // The account usually sends 1 / 1.8 of its quota, evenly through both entry daemons. While it is hot, it sends 7 times that.
    const double usualPerS = isLarge ? 1 / 7.5 : rate / (promptTokens + outputTokens) / 1.8;
    std::thread load([&]() {
        std::vector<std::thread> calls;
        double at = 0;
        for (int i = 0; at < loadS; ++i) {
            const bool isDisturbed = !isLarge || hasTrouble();
            const bool isHot = isLowered ? at >= 1 : isDisturbed && at >= 3 && at < 3 + 2 * hotS;
            sleepUntil(startedAt + at);
            calls.emplace_back(callOnce, ips[static_cast<std::size_t>(i % 2)], front, i, key);
            at += 1 / (usualPerS * (isHot ? hotFactor : 1));
        }
        for (std::thread &call : calls) {
            call.join();
        }
    });
    double judgedFrom = startedAt;
    double allowed = allowedIn(rate, burst);
    if (isLowered) {
        // A change just before it makes the endpoint daemons ask the store again.
        sleepUntil(startedAt + 3);
        store.put("op", "config", config(2, hot, rate).dump());
        const int holder = holderOf(hot, engineCount, peer);
        sleepUntil(startedAt + 3.6);
        if (hasTrouble()) {
            for (const int machine : {holder, (holder + 1) % engineCount}) {
                engineDoors[static_cast<std::size_t>(machine)]->isMute = true;
                record.line("the store gives side-" + std::to_string(machine) + " no response");
            }
        }
        sleepUntil(startedAt + 4);
        const double lowered = rate / 5;
        store.put("op", "config", config(3, hot, lowered).dump());
        record.line("configuration 3 acknowledged: ratePerS and burst of " + hot + " are a fifth");
        // A lower limit binds one window after all front machines have been in touch configApplyMs past its acknowledgement.
        judgedFrom = now() + 2 + windowS;
        allowed = allowedIn(lowered, lowered);
        sleepUntil(startedAt + 4.6);
        for (Store::Door *door : engineDoors) {
            door->isMute = false;
        }
        record.line("the store responds to all machines");
    } else if (!isLarge) {
        record.line(hot + " sends 7 times its usual from 3 s after the start of the load, twice for 6.5 s");
        sleepUntil(startedAt + 5);
        if (hasTrouble()) {
            entryDoors[0]->isClosed = true;
            record.line("the store turns the machine of entry-1 away with 503");
        }
        sleepUntil(startedAt + 5.3);
        for (int i = firstEngines; i < engineCount; ++i) {
            engines[static_cast<std::size_t>(i)]->writeEntry();
        }
        record.line("machines were added; the holder of " + hot + " is now side-" + std::to_string(holderOf(hot, engineCount, peer)));
        sleepUntil(startedAt + 14);
        entryDoors[0]->isClosed = false;
        record.line("the store serves all machines");
    }
    load.join();
    for (const auto &entry : outcomes) {
        std::string text;
        for (const auto &status : entry.second) {
            text += " " + std::to_string(status.first) + ": " + std::to_string(status.second);
        }
        record.line("answers through " + entry.first + " (0: no answer):" + text);
    }
    for (double at = startedAt; at < startedAt + loadS; at += 1) {
        double tokens = 0;
        for (const Run &run : runs) {
            tokens += run.arrivedAt >= at && run.arrivedAt < at + 1 ? run.tokens : 0;
        }
        record.line("run from " + std::to_string(at) + " for a second: " + std::to_string(static_cast<long>(tokens)) + " tokens");
    }
    const std::pair<double, double> busiest = busiestWindow(judgedFrom, startedAt + loadS + 1);
    if (busiest.first == 0) {
        record.line("nothing ran in the windows that are judged");
        daemons.finish(2);
    }
    const bool isBroken = busiest.first > allowed;
    record.line(std::string(isBroken ? "QUOTA: " : "the rule held: ") + std::to_string(static_cast<long>(busiest.first))
                + " tokens were sent and run in 8 s from " + std::to_string(busiest.second) + "; allowed "
                + std::to_string(static_cast<long>(allowed)));
    daemons.finish(isBroken ? 1 : 0);
}
