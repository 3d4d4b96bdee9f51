// A client sends requests whose body holds the text of another request. The body is announced by a Transfer-Encoding that does not
// end with "chunked" (TROUBLE=1), or by a Content-Length (TROUBLE=0).
// Broken (exit 1): a runner runs a request that was only the body of another one.
#include "lab.hh"

using namespace lab;

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Store store;
    store.put("op", "config",
              {{"version", 3},
               {"routes", {makeRoute("order", "answers", "non_idempotent", 3000), makeRoute("plain", "answers", "idempotent", 3000)}},
               {"services", {{{"name", "answers"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
               {"limits", makeLimits()},
               {"tenants", {{{"name", "one"}, {"apiKeys", {"key-one"}}, {"ratePerS", 0}, {"burst", 0}}}}});
    std::mutex mutex;
    std::set<std::string> ran;
    const Server runner("127.0.0.1", [&](int descriptor) {
        std::string input;
        Message request;
        while (readMessage(descriptor, input, request)) {
            const std::string id = request.header("Citronspar-Request-Id");
            {
                const std::lock_guard<std::mutex> lock(mutex);
                ran.insert(id);
            }
            record.line("runner runs \"%s\", id %s, body of %zu bytes", request.firstLine.c_str(), id.c_str(), request.body.size());
            sendAll(descriptor, "HTTP/1.1 200 OK\r\nCitronspar-Request-Id: " + id + "\r\nCitronspar-Server-Seal: seal." + id
                                    + "\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    publishRunner(store, "i-0", "answers", runner.address(), 64);
    Daemon daemon;
    daemon.prepareEntry(argv[2], "edge-0", "127.0.5.1", store, freePort("127.0.5.1"));
    daemon.start();
    if (!waitUntilServing(daemon, "/plain/x", "key-one", 10)) {
        record.line("the daemon does not serve");
        std::_Exit(2);
    }
    int smuggled = 0;
    int outer = 0;
    int number = 0;
    for (const std::string coding : {"identity", "gzip", "gzip, identity"}) {
        for (int i = 0; i < 2; ++i, ++number) {
            const std::string id = "outer-" + std::to_string(number);
            const std::string innerId = "inner-" + std::to_string(number);
            const std::string inner = requestText("POST", "/order/approve", innerId, "key-one", 3000, "approve");
            std::string text = "POST /order/note HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
                + "\r\nCitronspar-Deadline-Ms: 3000\r\nAuthorization: Bearer key-one\r\n";
            text += isTroubled() ? "Transfer-Encoding: " + coding + "\r\n" : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
            const int descriptor = connectTo(daemon.ip, daemon.frontPort);
            const timeval limit{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            sendAll(descriptor, text + "\r\n" + inner);
            record.line("client sent %s with %s; its body is the text of a request with id %s", id.c_str(),
                        isTroubled() ? ("Transfer-Encoding: " + coding).c_str() : "Content-Length", innerId.c_str());
            std::string input;
            char buffer[4096];
            for (ssize_t count = 0; (count = ::recv(descriptor, buffer, sizeof buffer, 0)) > 0;) {
                input.append(buffer, static_cast<std::size_t>(count));
            }
            ::close(descriptor);
            const std::lock_guard<std::mutex> lock(mutex);
            const bool isSmuggled = ran.count(innerId) > 0;
            record.line("client got \"%s\"; %s %s", input.substr(0, input.find('\r')).c_str(), innerId.c_str(),
                        isSmuggled ? "was run  BROKEN: smuggled inside another request" : "was not run");
            smuggled += isSmuggled ? 1 : 0;
            outer += ran.count(id) > 0 ? 1 : 0;
        }
    }
    record.line("%d requests sent, %d of them run, %d run that were only the body of one", number, outer, smuggled);
    std::printf("sent %d, run %d, smuggled %d\n", number, outer, smuggled);
    std::fflush(stdout);
    daemon.end();
    std::_Exit(smuggled > 0 ? 1 : (isTroubled() || outer == number ? 0 : 2));
}
