// Streams without length and chunks pass through five entry daemons; one of them is killed (SIGKILL) while they run.
// Broken (exit 1): a client's stream ends as complete (its connection is closed in order, between two events) before its last event.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr int eventCount = 24;
constexpr double eventPause = 0.08;
constexpr int clientsPerDaemon = 4;
constexpr int daemonCount = 5;
constexpr double killInterval = 6;
constexpr int kills = 4;

std::string eventText(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + id + "\n\n";
}

void serveRunner(int descriptor, const std::string &instance, Record &record, std::map<std::string, int> &made, std::mutex &mutex)
{
    std::string input;
    Message request;
    while (readMessage(descriptor, input, request)) {
        const std::string id = request.header("Citronspar-Request-Id");
        std::string head = "Citronspar-Request-Id: " + id + "\r\n";
        if (request.header("Citronspar-Expect-Instance") != instance) {
            sendAll(descriptor, "HTTP/1.1 421 Misdirected\r\nCitronspar-Instance-Id: " + instance + "\r\n" + head + "Content-Length: 0\r\n\r\n");
            continue;
        }
        head += "Citronspar-Server-Seal: seal." + id + "\r\n";
        if (request.target().rfind("/plain/", 0) == 0) {
            sendAll(descriptor, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok");
            continue;
        }
        record.line("runner %s runs %s", instance.c_str(), id.c_str());
        // Neither a length nor chunks: the stream ends with its connection.
        bool isOpen = sendAll(descriptor, "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int number = 1; isOpen && number <= eventCount; ++number) {
            sleepFor(eventPause);
            isOpen = sendAll(descriptor, eventText(id, number));
            if (isOpen) {
                const std::lock_guard<std::mutex> lock(mutex);
                made[id] = number;
            }
        }
        return;
    }
}

struct Outcome
{
    int status = 0;
    bool isOrderly = false;
    bool isWholeEvents = true;
    int events = 0;
};

Outcome runStream(const Daemon &daemon, const std::string &id)
{
    Outcome outcome;
    const int descriptor = connectTo(daemon.ip, daemon.frontPort);
    if (descriptor < 0) {
        return outcome;
    }
    const timeval limit{12, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sendAll(descriptor, requestText("POST", "/ask/x", id, "key-one", 10000, "{}"));
    std::string input;
    char buffer[4096];
    while (true) {
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            outcome.isOrderly = count == 0;
            break;
        }
        input.append(buffer, static_cast<std::size_t>(count));
        // The last chunk of a stream that comes in chunks.
        const std::string last = "\r\n0\r\n\r\n";
        const bool isChunked = input.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos;
        if (isChunked && input.size() > last.size() && input.compare(input.size() - last.size(), last.size(), last) == 0) {
            break;
        }
    }
    ::close(descriptor);
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return outcome;
    }
    const Message head = parseHead(input.substr(0, end + 2));
    outcome.status = head.status();
    std::string body = input.substr(end + 4);
    if (!head.header("Transfer-Encoding").empty()) {
        // In chunks: complete only with the last one, which is empty.
        std::string plain;
        bool isLast = false;
        while (!body.empty() && !isLast) {
            const std::size_t line = body.find("\r\n");
            const std::size_t size = std::strtoul(body.c_str(), nullptr, 16);
            isLast = line != std::string::npos && size == 0;
            if (line == std::string::npos || isLast || body.size() < line + 2 + size) {
                break;
            }
            plain += body.substr(line + 2, size);
            body.erase(0, line + 2 + size + 2);
        }
        outcome.isOrderly = isLast;
        body = plain;
    } else if (!head.header("Content-Length").empty()) {
        outcome.isOrderly = body.size() >= static_cast<std::size_t>(std::atoll(head.header("Content-Length").c_str()));
    }
    while (body.rfind(eventText(id, outcome.events + 1), 0) == 0) {
        body.erase(0, eventText(id, outcome.events + 1).size());
        ++outcome.events;
    }
    outcome.isWholeEvents = body.empty();
    return outcome;
}

}

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    Store store;
    std::mutex mutex;
    std::map<std::string, int> made;
    std::vector<std::unique_ptr<Server>> runners;
    store.put("op", "config",
              {{"version", 3},
               {"routes", {makeRoute("ask", "answers", "stream", 10000), makeRoute("plain", "answers", "idempotent", 3000)}},
               {"services", {{{"name", "answers"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
               {"limits", makeLimits()},
               {"tenants", {{{"name", "one"}, {"apiKeys", {"key-one"}}, {"ratePerS", 0}, {"burst", 0}}}}});
    for (int i = 0; i < 3; ++i) {
        const std::string instance = "i-" + std::to_string(i);
        runners.push_back(std::make_unique<Server>("127.0.0.1", [&, instance](int descriptor) {
            serveRunner(descriptor, instance, record, made, mutex);
        }));
        publishRunner(store, instance, "answers", runners.back()->address(), 64);
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < daemonCount; ++i) {
        daemons.push_back(std::make_unique<Daemon>());
        const std::string ip = "127.0.2." + std::to_string(i + 1);
        daemons.back()->prepareEntry(folder, "edge-" + std::to_string(i), ip, store, freePort(ip));
        daemons.back()->start();
    }
    for (const auto &daemon : daemons) {
        if (!waitUntilServing(*daemon, "/plain/x", "key-one", 10)) {
            record.line("%s does not serve", daemon->name.c_str());
            std::_Exit(2);
        }
    }
    std::atomic<bool> isRunning{true};
    std::atomic<int> complete{0};
    std::atomic<int> brokenOff{0};
    std::atomic<int> falselyComplete{0};
    std::vector<std::thread> clients;
    for (int d = 0; d < daemonCount; ++d) {
        for (int c = 0; c < clientsPerDaemon; ++c) {
            clients.emplace_back([&, d, c]() {
                sleepFor(0.3 * c);
                for (int i = 0; isRunning; ++i) {
                    const std::string id = "s" + std::to_string(d) + "-" + std::to_string(c) + "-" + std::to_string(i);
                    const Outcome outcome = runStream(*daemons[static_cast<std::size_t>(d)], id);
                    int last = 0;
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        last = made[id];
                    }
                    const bool isFalse = outcome.status == 200 && outcome.isOrderly && outcome.isWholeEvents && outcome.events < eventCount;
                    record.line("client %s at %s: status %d, %d of %d events, runner made %d, ended %s%s", id.c_str(),
                                daemons[static_cast<std::size_t>(d)]->name.c_str(), outcome.status, outcome.events, eventCount, last,
                                outcome.isOrderly ? "in order" : "broken off", isFalse ? "  BROKEN: ends as complete" : "");
                    falselyComplete += isFalse ? 1 : 0;
                    complete += outcome.events == eventCount ? 1 : 0;
                    brokenOff += outcome.status == 200 && !outcome.isOrderly ? 1 : 0;
                    sleepFor(outcome.status == 0 ? 0.2 : 0.0);
                }
            });
        }
    }
    for (int i = 0; i < kills; ++i) {
        sleepFor(killInterval);
        Daemon &daemon = *daemons[static_cast<std::size_t>(i % daemonCount)];
        if (isTroubled()) {
            record.line("%s is killed", daemon.name.c_str());
            daemon.end();
            sleepFor(0.5);
            daemon.start();
        }
    }
    sleepFor(killInterval);
    isRunning = false;
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("%d streams complete, %d seen as broken off, %d ended as complete before their last event", complete.load(), brokenOff.load(),
                falselyComplete.load());
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    std::printf("complete %d, broken off %d, falsely complete %d\n", complete.load(), brokenOff.load(), falselyComplete.load());
    std::fflush(stdout);
    std::_Exit(falselyComplete > 0 ? 1 : (complete > 0 ? 0 : 2));
}
