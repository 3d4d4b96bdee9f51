// A stand-in for a plain service whose calls may not be repeated. It counts
// how often each order body ran. GET /stats tells the counts.
// POST /fault {"delayMilliseconds":N,"answerBytes":M} delays all later answers,
// and fills them up to M bytes.

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

Loop *runningLoop = nullptr;

class FakeService
{
private:
    Loop &m_loop;
    HttpServer &m_server;
    std::map<std::string, int> m_runs;
    int m_total = 0;
    bool m_hasSeenKey = false;
    Duration m_delay{};
    std::size_t m_answerBytes = 0;

public:
    FakeService(Loop &loop, HttpServer &server)
        : m_loop(loop)
        , m_server(server)
    {
    }

    void handle(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        m_hasSeenKey = m_hasSeenKey || !request.authorization.empty();
        if (request.path == "/stats") {
            int most = 0;
            for (const std::pair<const std::string, int> &entry : m_runs) {
                most = std::max(most, entry.second);
            }
            const json stats = {{"total", m_total}, {"mostRunsOfOne", most}, {"hasSeenKey", m_hasSeenKey}};
            m_server.respond(id, 200, "application/json", stats.dump());
            return;
        }
        if (request.path == "/fault") {
            const json fault = json::parse(request.body);
            m_delay = std::chrono::milliseconds(fault.value("delayMilliseconds", 0));
            m_answerBytes = fault.value("answerBytes", std::size_t(0));
            m_server.respond(id, 200, "text/plain", "ok\n");
            return;
        }
        ++m_total;
        const int runs = ++m_runs[request.body];
        json answer = {{"order", m_total}, {"runsOfThisBody", runs}};
        if (m_answerBytes > 0) {
            answer["filler"] = std::string(m_answerBytes, 'x');
        }
        m_loop.timers().subscribeOnce(m_delay, [this, id, answer](TimePoint) {
            m_server.respond(id, 201, "application/json", answer.dump());
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
    runningLoop = &loop;
    std::signal(SIGTERM, [](int) {
        runningLoop->stop();
    });
    HttpServer server(loop, HttpServer::Limits());
    FakeService service(loop, server);
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeservice: can't listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&service](HttpServer::ExchangeId id, const HttpRequest &request) {
        service.handle(id, request);
    });
    loop.run();
    return EXIT_SUCCESS;
}
