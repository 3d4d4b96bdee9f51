// A stand-in for the platform's table service.
//
// POST /table/read {"key"} and POST /table/transact {"puts":[{"key","revision","value"}]}.
// POST /fault {"mode"} sets a fault: "none", "down" (no reply, no effect) or
// "lose" (the write takes effect, its reply is lost).

#include "drivers/httpserver.h"
#include "drivers/loop.h"
#include "tests/fakes/faketable.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

using namespace citronspar;
using nlohmann::json;

Loop *runningLoop = nullptr;

class FakePlatform
{
private:
    HttpServer &m_server;
    FakeTable<json> m_table;
    std::string m_fault = "none";

    json rowToJson(const std::string &key) const
    {
        const FakeTable<json>::Row row = m_table.read(key);
        return json{{"revision", row.revision}, {"value", row.value}};
    }

    void transact(HttpServer::ExchangeId id, const json &request)
    {
        std::vector<FakeTable<json>::Put> puts;
        for (const json &put : request.at("puts")) {
            puts.push_back({put.at("key").get<std::string>(), put.at("revision").get<std::int64_t>(), put.at("value")});
        }
        const bool isCommitted = m_table.transact(puts);
        if (m_fault == "lose") {
            m_server.abort(id);
            return;
        }
        json rows = json::array();
        for (const FakeTable<json>::Put &put : puts) {
            rows.push_back(rowToJson(put.key));
        }
        m_server.respond(id, isCommitted ? 200 : 409, "application/json", json{{"rows", rows}}.dump());
    }

public:
    explicit FakePlatform(HttpServer &server)
        : m_server(server)
    {
    }

    void handle(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            m_server.respond(id, 400, "text/plain", "not a JSON object\n");
        } else if (request.path == "/fault") {
            m_fault = body.value("mode", "none");
            m_server.respond(id, 200, "text/plain", m_fault + "\n");
        } else if (m_fault == "down") {
            m_server.abort(id);
        } else if (request.path == "/table/read") {
            m_server.respond(id, 200, "application/json", rowToJson(body.value("key", "")).dump());
        } else if (request.path == "/table/transact") {
            transact(id, body);
        } else {
            m_server.respond(id, 404, "text/plain", "no such call\n");
        }
    }
};

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: fakeplatform ADDRESS:PORT\n";
        return EXIT_FAILURE;
    }
    Loop loop;
    runningLoop = &loop;
    std::signal(SIGTERM, [](int) {
        runningLoop->stop();
    });
    HttpServer server(loop, HttpServer::Limits{64U * 1024 * 1024, 4096});
    FakePlatform platform(server);
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeplatform: can't listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&platform](HttpServer::ExchangeId id, const HttpRequest &request) {
        platform.handle(id, request);
    });
    loop.run();
    return EXIT_SUCCESS;
}
