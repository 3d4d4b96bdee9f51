// Clients fetch answers of some megabytes with a Content-Length through one entry daemon, which gets SIGHUP as its settings file was
// written again (planned work). The clients read slowly, but steadily.
// Broken (exit 1): a request that was sent up to configApplyMs after the SIGHUP, was read, and was passed on to a runner that
// answered it in full, ends without a complete answer, before the client's deadline and the route's timeout.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr double configApplyS = 2;
constexpr int clientCount = 6;
constexpr std::size_t answerBytes = 2000000;
constexpr std::size_t pieceBytes = 4096;
// 40 KB in a second: a whole answer takes about 50 s.
constexpr double pieceInterval = 0.1;
constexpr int deadlineMs = 100000;

std::string answerOf(const std::string &id)
{
    std::string text;
    for (int line = 0; text.size() < answerBytes; ++line) {
        text += id + " line " + std::to_string(line) + "\n";
    }
    text.resize(answerBytes);
    return text;
}

void serveRunner(int descriptor, const std::string &instance, Record &record)
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
        const std::string body = request.target().rfind("/plain/", 0) == 0 ? std::string("ok") : answerOf(id);
        const bool isSent = sendAll(descriptor, "HTTP/1.1 200 OK\r\n" + head + "Citronspar-Server-Seal: seal." + id + "\r\nContent-Length: "
                                                    + std::to_string(body.size()) + "\r\n\r\n" + body);
        record.line("runner ran %s and %s its whole answer of %zu bytes", id.c_str(), isSent ? "wrote" : "could not write", body.size());
    }
}

}

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    Store store;
    store.put("op", "config",
              {{"version", 3},
               {"routes", {makeRoute("digest", "answers", "non_idempotent", deadlineMs), makeRoute("plain", "answers", "idempotent", 3000)}},
               {"services", {{{"name", "answers"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
               {"limits", makeLimits()},
               {"tenants", {{{"name", "one"}, {"apiKeys", {"key-one"}}, {"ratePerS", 0}, {"burst", 0}}}}});
    const Server runner("127.0.0.1", [&](int descriptor) {
        serveRunner(descriptor, "i-0", record);
    });
    publishRunner(store, "i-0", "answers", runner.address(), 64);
    Daemon daemon;
    daemon.prepareEntry(folder, "edge-0", "127.0.3.1", store, freePort("127.0.3.1"));
    daemon.start();
    if (!waitUntilServing(daemon, "/plain/x", "key-one", 10)) {
        record.line("the daemon does not serve");
        std::_Exit(2);
    }
    // In touch: no disruption for contactMs before the first request.
    sleepFor(3.5);
    daemon.signal(SIGHUP);
    const double hupAt = now();
    record.line("%s gets SIGHUP", daemon.name.c_str());
    std::atomic<int> complete{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < clientCount; ++c) {
        clients.emplace_back([&, c]() {
            const std::string id = "d" + std::to_string(c);
            sleepFor(0.2 * c);
            // Segments as on Ethernet.
            const int descriptor = connectTo(daemon.ip, daemon.frontPort, ClientSettings{0, 1400});
            const timeval limit{20, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            const double sentAt = now();
            sendAll(descriptor, requestText("POST", "/digest/x", id, "key-one", deadlineMs, "{}"));
            record.line("client %s sent its request %.1f s after the SIGHUP", id.c_str(), sentAt - hupAt);
            std::string input;
            char buffer[pieceBytes];
            int error = 0;
            std::size_t end = std::string::npos;
            std::size_t total = std::string::npos;
            while (input.size() < total) {
                const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
                if (count <= 0) {
                    error = count == 0 ? 0 : errno;
                    break;
                }
                input.append(buffer, static_cast<std::size_t>(count));
                if (end == std::string::npos && (end = input.find("\r\n\r\n")) != std::string::npos) {
                    total = end + 4 + static_cast<std::size_t>(std::atoll(parseHead(input.substr(0, end + 2)).header("Content-Length").c_str()));
                }
                if (isTroubled()) {
                    sleepFor(pieceInterval);
                }
            }
            ::close(descriptor);
            const std::string body = end == std::string::npos ? std::string() : input.substr(end + 4);
            const bool isWhole = body == answerOf(id);
            const double took = now() - sentAt;
            const bool isLost = !isWhole && sentAt - hupAt <= configApplyS && took < deadlineMs / 1000.0;
            record.line("client %s: %zu of %zu bytes after %.1f s, %s%s", id.c_str(), body.size(), answerBytes, took,
                        isWhole ? "complete" : (error == 0 ? "connection closed" : std::strerror(error)),
                        isLost ? "  BROKEN: no complete answer" : "");
            complete += isWhole ? 1 : 0;
            lost += isLost ? 1 : 0;
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("%d answers complete, %d requests without a complete answer", complete.load(), lost.load());
    daemon.end();
    std::printf("complete %d, without a complete answer %d\n", complete.load(), lost.load());
    std::fflush(stdout);
    std::_Exit(lost > 0 ? 1 : (complete == clientCount ? 0 : 2));
}
