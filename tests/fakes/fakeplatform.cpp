// Fake table service of the platform.
//
// POST /table/read {"key"} and POST /table/transact {"puts":[{"key","revision","value"}]}.
// POST /fault {"mode"} sets the fault mode: "none", "down" (connections are aborted
// without a reply and without effect) or "lose" (writes are applied, but their replies are lost).

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

Loop *loopToStop = nullptr;

class FakePlatform
{
private:
    HttpServer &m_server;
    FakeTable<json> m_table;
    std::string m_faultMode = "none";

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
        if (m_faultMode == "lose") {
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

    void handleRequest(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            m_server.respond(id, 400, "text/plain", "not a JSON object\n");
        } else if (request.path == "/fault") {
            m_faultMode = body.value("mode", "none");
            m_server.respond(id, 200, "text/plain", m_faultMode + "\n");
        } else if (m_faultMode == "down") {
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
    loopToStop = &loop;
    std::signal(SIGTERM, [](int) {
        loopToStop->stop();
    });
    HttpServer server(loop, HttpServer::Limits{64U * 1024 * 1024, 4096});
    FakePlatform platform(server);
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeplatform: failed to listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&platform](HttpServer::ExchangeId id, const HttpRequest &request) {
        platform.handleRequest(id, request);
    });
    loop.run();
    return EXIT_SUCCESS;
}
