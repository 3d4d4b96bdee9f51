// Fake HTTP service whose requests must not run more than once. It counts the runs
// of each request body; GET /stats returns the counts.
// POST /fault {"delayMilliseconds":N,"answerBytes":M} delays all later responses by
// N ms and adds M bytes of filler to each.

#include "drivers/httpserver.h"
#include "drivers/loop.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

namespace
{

using namespace citronspar;
using nlohmann::json;

Loop *loopToStop = nullptr;

class FakeService
{
private:
    Loop &m_loop;
    HttpServer &m_server;
    std::map<std::string, int> m_runsByBody;
    int m_totalRuns = 0;
    bool m_hasSeenKey = false;
    Duration m_responseDelay{};
    std::size_t m_fillerBytes = 0;

public:
    FakeService(Loop &loop, HttpServer &server)
        : m_loop(loop)
        , m_server(server)
    {
    }

    void handleRequest(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        m_hasSeenKey = m_hasSeenKey || !request.authorization.empty();
        if (request.path == "/stats") {
            int maxRuns = 0;
            for (const std::pair<const std::string, int> &entry : m_runsByBody) {
                maxRuns = std::max(maxRuns, entry.second);
            }
            const json stats = {{"total", m_totalRuns}, {"mostRunsOfOne", maxRuns}, {"hasSeenKey", m_hasSeenKey}};
            m_server.respond(id, 200, "application/json", stats.dump());
            return;
        }
        if (request.path == "/fault") {
            const json fault = json::parse(request.body);
            m_responseDelay = std::chrono::milliseconds(fault.value("delayMilliseconds", 0));
            m_fillerBytes = fault.value("answerBytes", std::size_t(0));
            m_server.respond(id, 200, "text/plain", "ok\n");
            return;
        }
        ++m_totalRuns;
        const int runs = ++m_runsByBody[request.body];
        json response = {{"order", m_totalRuns}, {"runsOfThisBody", runs}};
        if (m_fillerBytes > 0) {
            response["filler"] = std::string(m_fillerBytes, 'x');
        }
        m_loop.timers().subscribeOnce(m_responseDelay, [this, id, response](TimePoint) {
            m_server.respond(id, 201, "application/json", response.dump());
        });
    }
};

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: fakeservice ADDRESS:PORT\n";
        return EXIT_FAILURE;
    }
    Loop loop;
    loopToStop = &loop;
    std::signal(SIGTERM, [](int) {
        loopToStop->stop();
    });
    HttpServer server(loop, HttpServer::Limits());
    FakeService service(loop, server);
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeservice: failed to listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&service](HttpServer::ExchangeId id, const HttpRequest &request) {
        service.handleRequest(id, request);
    });
    loop.run();
    return EXIT_SUCCESS;
}
