// Fake model engine with OpenAI-compatible streaming completions, an LRU cache of
// prompt blocks and a stream of cache events at GET /events.
//
// The generated text depends on the prompt only, so a resumed response equals an
// uninterrupted one. POST /fault {"mode":"crash-after","tokens":N} makes the process
// exit after N more tokens; {"mode":"freeze"} stops all token output. A completion
// request with "poison":true makes the process exit immediately.
// GET /stats returns the counters.

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
constexpr std::size_t cacheCapacityBlocks = 60;
constexpr std::int64_t blockTokens = 4096;

Loop *loopToStop = nullptr;

struct Stream
{
    std::uint64_t seed = 0;
    std::int64_t nextToken = 0;
    std::int64_t endToken = 0;
};

class FakeEngine
{
private:
    Loop &m_loop;
    HttpServer &m_server;
    std::string m_weightsVersion;
    std::int64_t m_incarnation;
    std::int64_t m_sequence = 0;
    std::list<std::uint64_t> m_lruOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_lruPositions;
    std::set<HttpServer::ExchangeId> m_eventSubscribers;
    std::map<HttpServer::ExchangeId, Stream> m_streams;
    std::int64_t m_tokensUntilCrash = -1;
    bool m_isFrozen = false;
    std::size_t m_requestCount = 0;
    bool m_hasSeenKey = false;

    void publishEvent(const std::string &type, const std::vector<std::uint64_t> &blocks)
    {
        if (blocks.empty()) {
            return;
        }
        const json event = {{"type", type}, {"incarnation", m_incarnation}, {"sequence", m_sequence}, {"blocks", blocks}};
        ++m_sequence;
        for (const HttpServer::ExchangeId subscriber : m_eventSubscribers) {
            m_server.writeStream(subscriber, "data: " + event.dump() + "\n\n");
        }
    }

    std::int64_t updateCache(const std::vector<std::uint64_t> &chain)
    {
        std::int64_t cachedBlocks = 0;
        std::vector<std::uint64_t> stored;
        bool isInCachedPrefix = true;
        for (const std::uint64_t block : chain) {
            const auto found = m_lruPositions.find(block);
            isInCachedPrefix = isInCachedPrefix && found != m_lruPositions.end();
            cachedBlocks += isInCachedPrefix ? 1 : 0;
            if (found != m_lruPositions.end()) {
                m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second);
                continue;
            }
            m_lruPositions[block] = m_lruOrder.insert(m_lruOrder.end(), block);
            stored.push_back(block);
        }
        publishEvent("stored", stored);
        std::vector<std::uint64_t> removed;
        while (m_lruOrder.size() > cacheCapacityBlocks) {
            removed.push_back(m_lruOrder.front());
            m_lruPositions.erase(m_lruOrder.front());
            m_lruOrder.pop_front();
        }
        publishEvent("removed", removed);
        return cachedBlocks;
    }

    void startCompletion(HttpServer::ExchangeId id, const json &request)
    {
        ++m_requestCount;
        const std::vector<std::uint64_t> chain = request.value("block_hashes", std::vector<std::uint64_t>());
        const std::int64_t uncachedTokens = request.value("prompt_tokens", std::int64_t(0)) - updateCache(chain) * blockTokens;
        Stream stream;
        const json prompt = request.contains("messages") ? request["messages"] : request.value("prompt", json());
        stream.seed = hashBytes(prompt.dump(), 7);
        stream.nextToken = request.contains("resume") ? request["resume"].value("tokens", std::int64_t(0)) : 0;
        stream.endToken = request.value("max_tokens", std::int64_t(16));
        const double prefillSeconds = static_cast<double>(std::max<std::int64_t>(uncachedTokens, 0)) / prefillTokensPerSecond;
        m_server.beginStream(id, 200, "text/event-stream");
        m_loop.timers().subscribeOnce(fromSeconds(prefillSeconds), [this, id, stream](TimePoint) {
            Stream &started = m_streams[id] = stream;
            if (!m_isFrozen) {
                writeToken(id, started);
            }
            finishIfComplete(id);
        });
    }

    void writeToken(HttpServer::ExchangeId id, Stream &stream)
    {
        const std::string text = "t" + std::to_string(hashCombine(stream.seed, static_cast<std::uint64_t>(stream.nextToken)) % 1000) + " ";
        const json event = {{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
        m_server.writeStream(id, "data: " + event.dump() + "\n\n");
        ++stream.nextToken;
        if (m_tokensUntilCrash > 0 && --m_tokensUntilCrash == 0) {
            std::_Exit(EXIT_FAILURE);
        }
    }

public:
    FakeEngine(Loop &loop, HttpServer &server, std::string weights, Duration tokenPeriod)
        : m_loop(loop)
        , m_server(server)
        , m_weightsVersion(std::move(weights))
    {
        std::random_device device;
        m_incarnation = static_cast<std::int64_t>(device()) + 1;
        loop.timers().subscribe(tokenPeriod, [this](TimePoint) {
            writeTokens();
        });
    }

    void writeTokens()
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
            finishIfComplete(id);
        }
    }

    void finishIfComplete(HttpServer::ExchangeId id)
    {
        const auto found = m_streams.find(id);
        if (found == m_streams.end() || found->second.nextToken < found->second.endToken) {
            return;
        }
        m_server.writeStream(id, "data: [DONE]\n\n");
        m_server.endStream(id);
        m_streams.erase(found);
    }

    void handleDisconnect(HttpServer::ExchangeId id)
    {
        m_eventSubscribers.erase(id);
        m_streams.erase(id);
    }

    void handleRequest(HttpServer::ExchangeId id, const HttpRequest &request)
    {
        m_hasSeenKey = m_hasSeenKey || !request.authorization.empty() || request.body.find("sk-") != std::string::npos;
        if (request.path == "/events") {
            m_server.beginStream(id, 200, "text/event-stream");
            const json hello = {{"type", "hello"}, {"incarnation", m_incarnation}, {"weights", m_weightsVersion}, {"sequence", m_sequence}};
            m_server.writeStream(id, "data: " + hello.dump() + "\n\n");
            m_eventSubscribers.insert(id);
            return;
        }
        if (request.path == "/stats") {
            const json stats = {{"requests", m_requestCount}, {"hasSeenKey", m_hasSeenKey}, {"streams", m_streams.size()}};
            m_server.respond(id, 200, "application/json", stats.dump());
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            m_server.respond(id, 400, "text/plain", "not a JSON object\n");
        } else if (request.path == "/fault") {
            m_tokensUntilCrash = body.value("mode", "") == "crash-after" ? body.value("tokens", std::int64_t(1)) : -1;
            m_isFrozen = body.value("mode", "") == "freeze";
            m_server.respond(id, 200, "text/plain", "ok\n");
        } else if (body.value("poison", false)) {
            std::_Exit(EXIT_FAILURE);
        } else {
            startCompletion(id, body);
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
    loopToStop = &loop;
    std::signal(SIGTERM, [](int) {
        loopToStop->stop();
    });
    HttpServer server(loop, HttpServer::Limits{64U * 1024 * 1024, 4096});
    const std::int64_t tokenMilliseconds = argc == 4 ? std::max(1, std::atoi(argv[3])) : defaultTokenMilliseconds;
    FakeEngine engine(loop, server, argv[2], std::chrono::milliseconds(tokenMilliseconds));
    if (!server.open(parseSocketAddress(argv[1]))) {
        std::cerr << "fakeengine: failed to listen on " << argv[1] << "\n";
        return EXIT_FAILURE;
    }
    server.onRequest([&engine](HttpServer::ExchangeId id, const HttpRequest &request) {
        engine.handleRequest(id, request);
    });
    server.onClientDisconnected([&engine](HttpServer::ExchangeId id) {
        engine.handleDisconnect(id);
    });
    loop.run();
    return EXIT_SUCCESS;
}
