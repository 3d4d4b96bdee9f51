// A stand-in for a model engine: OpenAI-compatible streaming completions, a
// block cache of limited size, and an event stream at GET /events.
//
// The text depends on the prompt alone, so a resumed answer is the same as
// one that ran through. POST /fault {"mode":"crash-after","tokens":N} ends the
// process after N more tokens; {"mode":"freeze"} stops all output.

#include "core/hash.h"
#include "drivers/httpserver.h"
#include "drivers/loop.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace
{

using namespace citronspar;
using nlohmann::json;

constexpr std::int64_t defaultTokenMilliseconds = 2;
constexpr double prefillTokensPerSecond = 200000;
constexpr std::size_t cacheBlocks = 60;
constexpr std::int64_t blockTokens = 4096;

Loop *runningLoop = nullptr;

struct Stream
{
    std::uint64_t seed = 0;
    std::int64_t next = 0;
    std::int64_t end = 0;
};

class FakeEngine
{
private:
    Loop &m_loop;
    HttpServer &m_server;
    std::string m_weights;
    std::int64_t m_incarnation;
    std::int64_t m_sequence = 0;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::set<HttpServer::ExchangeId> m_listeners;
    std::map<HttpServer::ExchangeId, Stream> m_streams;
    std::int64_t m_tokensToCrash = -1;
    bool m_isFrozen = false;
    std::size_t m_requests = 0;
    bool m_hasSeenKey = false;

    void publish(const std::string &type, const std::vector<std::uint64_t> &blocks)
    {
        if (blocks.empty()) {
            return;
        }
        const json event = {{"type", type}, {"incarnation", m_incarnation}, {"sequence", m_sequence}, {"blocks", blocks}};
        ++m_sequence;
        for (const HttpServer::ExchangeId listener : m_listeners) {
            m_server.writeStream(listener, "data: " + event.dump() + "\n\n");
        }
    }

    std::int64_t cacheChain(const std::vector<std::uint64_t> &chain)
    {
        std::int64_t hits = 0;
        std::vector<std::uint64_t> stored;
        bool isPrefix = true;
        for (const std::uint64_t block : chain) {
            const auto found = m_blocks.find(block);
            isPrefix = isPrefix && found != m_blocks.end();
            hits += isPrefix ? 1 : 0;
            if (found != m_blocks.end()) {
                m_order.splice(m_order.end(), m_order, found->second);
                continue;
            }
            m_blocks[block] = m_order.insert(m_order.end(), block);
            stored.push_back(block);
        }
        publish("stored", stored);
        std::vector<std::uint64_t> removed;
        while (m_order.size() > cacheBlocks) {
            removed.push_back(m_order.front());
            m_blocks.erase(m_order.front());
            m_order.pop_front();
        }
        publish("removed", removed);
        return hits;
    }

    void complete(HttpServer::ExchangeId id, const json &request)
    {
        ++m_requests;
        const std::vector<std::uint64_t> chain = request.value("block_hashes", std::vector<std::uint64_t>());
        const std::int64_t missing = request.value("prompt_tokens", std::int64_t(0)) - cacheChain(chain) * blockTokens;
        Stream stream;
        const json prompt = request.contains("messages") ? request["messages"] : request.value("prompt", json());
        stream.seed = hashBytes(prompt.dump(), 7);
        stream.next = request.contains("resume") ? request["resume"].value("tokens", std::int64_t(0)) : 0;
        stream.end = request.value("max_tokens", std::int64_t(16));
        const double wait = static_cast<double>(std::max<std::int64_t>(missing, 0)) / prefillTokensPerSecond;
        m_server.beginStream(id, 200, "text/event-stream");
        m_loop.timers().subscribeOnce(fromSeconds(wait), [this, id, stream](TimePoint) {
            Stream &started = m_streams[id] = stream;
            if (!m_isFrozen) {
                writeToken(id, started);
            }
            endIfDone(id);
        });
    }

    void writeToken(HttpServer::ExchangeId id, Stream &stream)
    {
        const std::string text = "t" + std::to_string(hashCombine(stream.seed, static_cast<std::uint64_t>(stream.next)) % 1000) + " ";
        const json event = {{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
        m_server.writeStream(id, "data: " + event.dump() + "\n\n");
        ++stream.next;
        if (m_tokensToCrash > 0 && --m_tokensToCrash == 0) {
            std::_Exit(EXIT_FAILURE);
        }
    }

public:
    FakeEngine(Loop &loop, HttpServer &server, std::string weights, Duration tokenPeriod)
        : m_loop(loop)
        , m_server(server)
        , m_weights(std::move(weights))
    {
        std::random_device device;
        m_incarnation = static_cast<std::int64_t>(device()) + 1;
        loop.timers().subscribe(tokenPeriod, [this](TimePoint) {
            step();
        });
    }

    void step()
    {
        if (m_isFrozen) {
            return;
        }
        std::vector<HttpServer::ExchangeId> ids;
        for (std::pair<const HttpServer::ExchangeId, Stream> &entry : m_streams) {
            writeToken(entry.first, entry.second);
            ids.push_back(entry.first);
        }
        for (const HttpServer::ExchangeId id : ids) {
            endIfDone(id);
        }
    }

    void endIfDone(HttpServer::ExchangeId id)
    {
        const auto found = m_streams.find(id);
        if (found == m_streams.end() || found->second.next < found->second.end) {
            return;
        }
        m_server.writeStream(id, "data: [DONE]\n\n");
        m_server.endStream(id);
        m_streams.erase(found);
    }

    void gone(HttpServer::ExchangeId id)
    {
        m_listeners.erase(id);
        m_streams.erase(id);
    }

    void handle(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        m_hasSeenKey = m_hasSeenKey || !request.authorization.empty() || request.body.find("sk-") != std::string::npos;
        if (request.path == "/events") {
            m_server.beginStream(id, 200, "text/event-stream");
            const json hello = {{"type", "hello"}, {"incarnation", m_incarnation}, {"weights", m_weights}, {"sequence", m_sequence}};
            m_server.writeStream(id, "data: " + hello.dump() + "\n\n");
            m_listeners.insert(id);
            return;
        }
        if (request.path == "/stats") {
            const json stats = {{"requests", m_requests}, {"hasSeenKey", m_hasSeenKey}, {"streams", m_streams.size()}};
            m_server.respond(id, 200, "application/json", stats.dump());
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            m_server.respond(id, 400, "text/plain", "not a JSON object\n");
        } else if (request.path == "/fault") {
            m_tokensToCrash = body.value("mode", "") == "crash-after" ? body.value("tokens", std::int64_t(1)) : -1;
            m_isFrozen = body.value("mode", "") == "freeze";
            m_server.respond(id, 200, "text/plain", "ok\n");
        } else if (body.value("poison", false)) {
            std::_Exit(EXIT_FAILURE);
        } else {
            complete(id, body);
        }
    }
};

}

int main(int argc, char **argv)
{
    if (argc != 3 && argc != 4) {
        std::cerr << "usage: fakeengine ADDRESS:PORT WEIGHTS [MILLISECONDS-PER-TOKEN]\n";
        return EXIT_FAILURE;
    }
    Loop loop;
    runningLoop = &loop;
    std::signal(SIGTERM, [](int) {
        runningLoop->stop();
    });
    HttpServer server(loop, HttpServer::Limits{64U * 1024 * 1024, 4096});
    const std::int64_t tokenMilliseconds = argc == 4 ? std::max(1, std::atoi(argv[3])) : defaultTokenMilliseconds;
    FakeEngine engine(loop, server, argv[2], std::chrono::milliseconds(tokenMilliseconds));
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeengine: can't listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&engine](HttpServer::ExchangeId id, const HttpRequest &request) {
        engine.handle(id, request);
    });
    server.onGone([&engine](HttpServer::ExchangeId id) {
        engine.gone(id);
    });
    loop.run();
    return EXIT_SUCCESS;
}
