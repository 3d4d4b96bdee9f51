// Two entry daemons and one endpoint daemon, which holds the quota of all tenants. The store gives the endpoint daemon's machine no
// response for one second, in which a configuration with a lower quota is acknowledged.
// Broken (exit 1): in some 8 s that begin later than configApplyMs and one window after that acknowledgement, more tokens of the
// tenant run than the lower quota allows.
#include "lab.hh"

#include <algorithm>

using namespace lab;

namespace
{

constexpr int highRate = 60000;
constexpr int lowRate = 5000;
constexpr int tokensPerRequest = 2500;
constexpr double configApplyS = 2;
constexpr double windowS = 8;
constexpr double overshoot = 0.1;
constexpr double slack = 110000;
constexpr double silenceS = 1;
constexpr int clientsPerDaemon = 8;

json makeConfig(int version, int rate)
{
    return {{"version", version},
            {"routes", {makeRoute("plain", "answers", "idempotent", 3000), makeRoute("public", "answers", "idempotent", 3000)}},
            {"services",
             {{{"name", "answers"}, {"healthPath", "/health"}, {"maxConns", 200}},
              {{"name", "models"},
               {"healthPath", "/health"},
               {"maxConns", 200},
               {"engine", {{"slots", 64}, {"kvCapacityTokens", 116035}, {"kvTokenBytes", 327680}, {"linkMbps", 550000}, {"models", {{{"name", "m0"}}}}}}}}},
            {"limits", makeLimits()},
            {"tenants", {{{"name", "one"}, {"apiKeys", {"key-one"}}, {"unit", "tokens"}, {"plainTokens", 200}, {"ratePerS", rate}, {"burst", rate}}}}};
}

struct Run
{
    double sentAt = 0;
    double arrivedAt = 0;
};

}

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Store store;
    StoreDoor door;
    store.open(door);
    json config = makeConfig(3, highRate);
    config["routes"][1]["public"] = true;
    store.put("op", "config", config);
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<Run> runs;
    std::vector<std::unique_ptr<Server>> runners;
    for (int i = 0; i < 2; ++i) {
        runners.push_back(std::make_unique<Server>("127.0.0.1", [&](int descriptor) {
            std::string input;
            Message request;
            while (readMessage(descriptor, input, request)) {
                const std::string id = request.header("Citronspar-Request-Id");
                if (request.header("Citronspar-Tenant") == "one") {
                    const std::lock_guard<std::mutex> lock(mutex);
                    runs.push_back(Run{sentAt[id], now()});
                }
                sendAll(descriptor, "HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Server-Seal: seal." + id
                                        + "\r\nContent-Length: 2\r\n\r\nok");
            }
        }));
        publishRunner(store, "i-" + std::to_string(i), "answers", runners.back()->address(), 64);
    }
    // The engine, whose endpoint daemon holds the quota. It gets no requests here.
    const std::string sideIp = "127.0.6.9";
    const Server engine(sideIp, [&](int descriptor) {
        std::string input;
        Message request;
        const std::string report = json({{"stage", "colocated"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
                                         {"busy", false}, {"sequence", 0}, {"waiting", 0}, {"running", 0}, {"kvUsed", 0}, {"kvTotal", 116035},
                                         {"handles", 0}, {"born", 1700000000000}})
                                       .dump();
        while (readMessage(descriptor, input, request)) {
            sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n"
                                    + report);
        }
    });
    publishRunner(store, "e-0", "models", engine.address(), 64, {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}});
    const int peerPort = freePort(sideIp);
    Daemon side;
    side.prepareEndpoint(argv[2], "side-0", sideIp, door, peerPort, engine.address());
    side.start();
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < 2; ++i) {
        daemons.push_back(std::make_unique<Daemon>());
        daemons.back()->prepareEntry(argv[2], "edge-" + std::to_string(i), "127.0.6." + std::to_string(i + 1), store, peerPort);
        daemons.back()->start();
    }
    for (const auto &daemon : daemons) {
        if (!waitUntilServing(*daemon, "/public/x", "key-one", 10)) {
            record.line("%s does not serve", daemon->name.c_str());
            std::_Exit(2);
        }
    }
    sleepFor(2);
    std::atomic<bool> isRunning{true};
    std::atomic<int> refused{0};
    std::vector<std::thread> clients;
    for (std::size_t d = 0; d < daemons.size(); ++d) {
        for (int c = 0; c < clientsPerDaemon; ++c) {
            clients.emplace_back([&, d, c]() {
                const std::string more = "Citronspar-Token-Counts: " + std::to_string(tokensPerRequest - 100) + ",100\r\n";
                int descriptor = -1;
                std::string input;
                for (int i = 0; isRunning; ++i) {
                    if (descriptor < 0) {
                        descriptor = connectTo(daemons[d]->ip, daemons[d]->frontPort);
                        input.clear();
                    }
                    const std::string id = "q" + std::to_string(d) + "-" + std::to_string(c) + "-" + std::to_string(i);
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        sentAt[id] = now();
                    }
                    Message answer;
                    if (descriptor < 0 || !sendAll(descriptor, requestText("GET", "/plain/x", id, "key-one", 3000, "", more))
                        || !readMessage(descriptor, input, answer)) {
                        ::close(descriptor);
                        descriptor = -1;
                    }
                    refused += answer.status() == 429 ? 1 : 0;
                    // Together 107 requests a second, 267,000 tokens.
                    sleepFor(0.15);
                }
            });
        }
    }
    sleepFor(4);
    // The daemons' questions for changes begin anew with each change.
    json next = makeConfig(5, highRate);
    next["routes"][1]["public"] = true;
    store.put("op", "config", next);
    record.line("configuration 5 acknowledged, the quota is as before: %d tokens a second", highRate);
    sleepFor(1);
    if (isTroubled()) {
        door.isSilent = true;
        record.line("the store gives the machine of side-0 no response");
    }
    sleepFor(0.5);
    next = makeConfig(8, lowRate);
    next["routes"][1]["public"] = true;
    store.put("op", "config", next);
    const double acknowledgedAt = now();
    record.line("configuration 8 acknowledged, the quota is %d tokens a second", lowRate);
    sleepFor(silenceS - 0.5);
    door.isSilent = false;
    record.line("the store responds to the machine of side-0");
    const double judgedFrom = acknowledgedAt + configApplyS + windowS;
    sleepFor(judgedFrom + 2 * windowS - now());
    isRunning = false;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const double allowed = (lowRate * windowS + lowRate) * (1 + overshoot) + slack;
    double most = 0;
    double mostAt = 0;
    for (const Run &first : runs) {
        if (first.sentAt < judgedFrom) {
            continue;
        }
        double tokens = 0;
        for (const Run &run : runs) {
            tokens += run.sentAt >= first.sentAt && run.arrivedAt < first.sentAt + windowS ? tokensPerRequest : 0;
        }
        if (tokens > most) {
            most = tokens;
            mostAt = first.sentAt;
        }
    }
    for (int second = 0; second < static_cast<int>(now()); ++second) {
        const long count = std::count_if(runs.begin(), runs.end(), [second](const Run &run) {
            return static_cast<int>(run.arrivedAt) == second;
        });
        record.line("second %d: %ld requests run, %ld tokens", second, count, count * tokensPerRequest);
    }
    record.line("judged from %.3f on: at most %.0f tokens in %.0f s (from %.3f), %.0f allowed%s; %d requests refused with 429", judgedFrom, most,
                windowS, mostAt, allowed, most > allowed ? "  BROKEN" : "", refused.load());
    std::printf("most %.0f, allowed %.0f\n", most, allowed);
    std::fflush(stdout);
    side.end();
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    std::_Exit(most > allowed ? 1 : (runs.empty() ? 2 : 0));
}
