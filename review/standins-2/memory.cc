// Many clients at once fetch answers of 1.2 MB through two entry daemons and read them slowly. A process that exceeds the
// memoryMb of its machine is killed by the platform, and started again.
// Broken (exit 1): on two machines, processes end by themselves (memory over the limit) three times.
#include "lab.hh"

#include <algorithm>

using namespace lab;

namespace
{

constexpr std::size_t answerBytes = 1200000;
constexpr int daemonCount = 2;
constexpr int clientsPerDaemon = 250;
constexpr int waves = 3;
constexpr double waveInterval = 12;
// The clients of a wave come within this time.
constexpr double arrivalTime = 1.5;
// A slow client takes 4 KB each 0.1 s.
constexpr std::size_t slowBytes = 4096;
constexpr double slowInterval = 0.1;
constexpr double memoryMb = 110;
constexpr int endsToBreak = 3;

const std::string answer(answerBytes, 'a');

void serveRunner(int descriptor, const std::string &instance, std::atomic<int> &runs)
{
    std::string input;
    Message request;
    while (readMessage(descriptor, input, request)) {
        const std::string id = request.header("Citronspar-Request-Id");
        const std::string head = "Citronspar-Request-Id: " + id + "\r\n";
        if (request.header("Citronspar-Expect-Instance") != instance) {
            sendAll(descriptor, "HTTP/1.1 421 Misdirected\r\nCitronspar-Instance-Id: " + instance + "\r\n" + head + "Content-Length: 0\r\n\r\n");
            continue;
        }
        ++runs;
        const bool isPlain = request.target().rfind("/plain/", 0) == 0;
        const std::string &body = answer;
        const std::size_t bytes = isPlain ? 2 : body.size();
        sendAll(descriptor, "HTTP/1.1 200 OK\r\n" + head + "Citronspar-Server-Seal: seal." + id + "\r\nContent-Length: " + std::to_string(bytes)
                                + "\r\n\r\n" + body.substr(0, bytes));
    }
}

double residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atof(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

struct WaveResult
{
    int complete = 0;
    int incomplete = 0;
};

/** One thread plays all clients of a wave at one daemon. */
WaveResult playWave(const Daemon &daemon, int wave, bool isSlow)
{
    struct Client
    {
        int descriptor = -1;
        std::size_t received = 0;
        double nextRead = 0;
        bool isDone = false;
        std::string head;
        std::size_t total = 0;
    };
    std::vector<Client> clients(clientsPerDaemon);
    const double startedAt = now();
    WaveResult result;
    std::vector<char> buffer(65536);
    std::size_t open = 0;
    while (now() - startedAt < waveInterval - 1) {
        while (open < clients.size() && now() - startedAt >= arrivalTime * static_cast<double>(open) / clientsPerDaemon) {
            Client &client = clients[open];
            client.descriptor = connectTo(daemon.ip, daemon.frontPort, ClientSettings{0, 1400});
            const std::string id = "m" + std::to_string(wave) + "-" + daemon.name + "-" + std::to_string(open);
            if (client.descriptor < 0 || !sendAll(client.descriptor, requestText("GET", "/digest/x", id, "key-one", 30000))) {
                client.isDone = true;
            }
            client.nextRead = now();
            ++open;
        }
        bool isAnyOpen = open < clients.size();
        for (std::size_t i = 0; i < open; ++i) {
            Client &client = clients[i];
            if (client.isDone) {
                continue;
            }
            isAnyOpen = true;
            if (now() < client.nextRead) {
                continue;
            }
            client.nextRead = now() + (isSlow ? slowInterval : 0);
            const ssize_t count = ::recv(client.descriptor, buffer.data(), isSlow ? slowBytes : buffer.size(), MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                continue;
            }
            if (count <= 0) {
                client.isDone = true;
                ::close(client.descriptor);
                continue;
            }
            client.received += static_cast<std::size_t>(count);
            if (client.total == 0) {
                client.head.append(buffer.data(), static_cast<std::size_t>(count));
                const std::size_t end = client.head.find("\r\n\r\n");
                if (end != std::string::npos) {
                    const Message head = parseHead(client.head.substr(0, end + 2));
                    client.total = end + 4 + static_cast<std::size_t>(std::atoll(head.header("Content-Length").c_str()));
                }
            }
            if (client.total > 0 && client.received >= client.total) {
                client.isDone = true;
                result.complete += client.total > answerBytes ? 1 : 0;
                ::close(client.descriptor);
            }
        }
        if (!isAnyOpen) {
            break;
        }
        sleepFor(0.001);
    }
    for (Client &client : clients) {
        if (!client.isDone && client.descriptor >= 0) {
            ::close(client.descriptor);
        }
    }
    result.incomplete = clientsPerDaemon - result.complete;
    return result;
}

}

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    Store store;
    std::atomic<int> runs{0};
    store.put("op", "config",
              {{"version", 3},
               {"routes", {makeRoute("digest", "answers", "idempotent", 30000), makeRoute("plain", "answers", "idempotent", 3000)}},
               {"services", {{{"name", "answers"}, {"healthPath", "/health"}, {"maxConns", 1500}}}},
               {"limits", makeLimits()},
               {"tenants", {{{"name", "one"}, {"apiKeys", {"key-one"}}, {"ratePerS", 0}, {"burst", 0}}}}});
    std::vector<std::unique_ptr<Server>> runners;
    for (int i = 0; i < 3; ++i) {
        const std::string instance = "i-" + std::to_string(i);
        runners.push_back(std::make_unique<Server>("127.0.0.1", [&, instance](int descriptor) {
            serveRunner(descriptor, instance, runs);
        }));
        publishRunner(store, instance, "answers", runners.back()->address(), 500);
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < daemonCount; ++i) {
        daemons.push_back(std::make_unique<Daemon>());
        const std::string ip = "127.0.4." + std::to_string(i + 1);
        daemons.back()->prepareEntry(folder, "edge-" + std::to_string(i), ip, store, freePort(ip));
        daemons.back()->start();
    }
    for (const auto &daemon : daemons) {
        if (!waitUntilServing(*daemon, "/plain/x", "key-one", 10)) {
            record.line("%s does not serve", daemon->name.c_str());
            std::_Exit(2);
        }
    }
    std::atomic<bool> isWatching{true};
    std::vector<int> ends(daemonCount, 0);
    std::vector<double> peaks(daemonCount, 0);
    // One watcher for each machine, so that the start of one process does not delay the look at the other.
    std::vector<std::thread> platform;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        platform.emplace_back([&, i]() {
            Daemon &daemon = *daemons[i];
            while (isWatching) {
                const double resident = residentMb(daemon.pid());
                peaks[i] = std::max(peaks[i], resident);
                const bool isOver = resident > memoryMb;
                if (isOver || !daemon.isRunning()) {
                    ++ends[i];
                    record.line("%s %s with %.1f MB of %.0f MB resident, started again", daemon.name.c_str(),
                                isOver ? "is killed by the platform" : "has ended", resident, memoryMb);
                    daemon.end();
                    sleepFor(0.3);
                    daemon.start();
                }
                sleepFor(0.005);
            }
            // The process ends with the thread that has started it.
            daemon.end();
        });
    }
    int complete = 0;
    for (int wave = 0; wave < waves; ++wave) {
        std::vector<WaveResult> results(daemonCount);
        std::vector<std::thread> threads;
        record.line("wave %d: %d clients at each daemon", wave, clientsPerDaemon);
        for (int i = 0; i < daemonCount; ++i) {
            threads.emplace_back([&, i]() {
                results[static_cast<std::size_t>(i)] = playWave(*daemons[static_cast<std::size_t>(i)], wave, isTroubled());
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        for (int i = 0; i < daemonCount; ++i) {
            complete += results[static_cast<std::size_t>(i)].complete;
            record.line("wave %d at %s: %d complete, %d not; %.1f MB at most so far", wave, daemons[static_cast<std::size_t>(i)]->name.c_str(),
                        results[static_cast<std::size_t>(i)].complete, results[static_cast<std::size_t>(i)].incomplete,
                        peaks[static_cast<std::size_t>(i)]);
        }
        sleepFor(2);
    }
    isWatching = false;
    for (std::thread &watcher : platform) {
        watcher.join();
    }
    const int broken = static_cast<int>(std::count_if(ends.begin(), ends.end(), [](int count) {
        return count >= endsToBreak;
    }));
    record.line("ends: %d and %d, complete answers %d, runs %d", ends[0], ends[1], complete, runs.load());
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    std::printf("ends %d and %d, peaks %.0f and %.0f MB, complete %d\n", ends[0], ends[1], peaks[0], peaks[1], complete);
    std::fflush(stdout);
    std::_Exit(broken >= 2 ? 1 : (complete > 0 || isTroubled() ? 0 : 2));
}
