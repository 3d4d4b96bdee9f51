// Measures the latency that the daemons add to streamed responses: sends the
// same requests to a fake engine directly and through an entry daemon, at several
// levels of concurrency. All responses to the same prompt must have the same text.

#include "core/scopeguard.h"
#include "core/time.h"
#include "drivers/httpclient.h"
#include "drivers/loop.h"
#include "drivers/ssereader.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace citronspar;
using nlohmann::json;

constexpr std::size_t promptCount = 16;

struct BenchSettings
{
    SocketAddress target;
    std::string key;
    std::size_t streams = 1;
    std::size_t requests = 100;
    std::int64_t tokens = 50;
};

/** Results of all requests of one run. */
struct Result
{
    std::vector<double> firstTokenMs;
    std::vector<double> gapsMs;
    std::map<std::size_t, std::string> textByPrompt;
    std::size_t deltas = 0;
    std::size_t incompleteStreams = 0;
    std::size_t mismatchedStreams = 0;
};

struct Stream
{
    std::size_t prompt = 0;
    SseReader reader;
    TimePoint startedAt;
    TimePoint lastDeltaAt;
    std::string text;
    std::int64_t deltas = 0;
    bool hasDoneEvent = false;
};

/** Keeps a fixed number of streams open until all requests have been sent and completed. */
class StreamLoad
{
private:
    Loop m_loop;
    HttpClient m_http;
    BenchSettings m_settings;
    Result m_result;
    std::size_t m_startedStreams = 0;
    std::size_t m_openStreams = 0;

    void startStream()
    {
        if (m_startedStreams >= m_settings.requests) {
            return;
        }
        const std::shared_ptr<Stream> stream = std::make_shared<Stream>();
        stream->prompt = m_startedStreams % promptCount;
        stream->startedAt = Loop::now();
        ++m_startedStreams;
        ++m_openStreams;
        HttpClientRequest request;
        request.target = m_settings.target;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.headers.emplace_back("content-type", "application/json");
        if (!m_settings.key.empty()) {
            request.headers.emplace_back("authorization", "Bearer " + m_settings.key);
        }
        const json message = {{"role", "user"}, {"content", "question " + std::to_string(stream->prompt)}};
        request.body = json{{"model", "m"}, {"stream", true}, {"max_tokens", m_settings.tokens}, {"messages", {message}}}.dump();
        HttpClient::Handlers handlers;
        handlers.onData = [this, stream](const std::string &data) {
            for (const std::string &event : stream->reader.add(data)) {
                handleEvent(*stream, event);
            }
        };
        handlers.onEnd = [this, stream](HttpClientResult) {
            finishStream(*stream);
        };
        m_http.send(std::move(request), std::move(handlers));
    }

    void handleEvent(Stream &stream, const std::string &event)
    {
        const TimePoint now = Loop::now();
        const json document = json::parse(event, nullptr, false);
        if (event == "[DONE]") {
            stream.hasDoneEvent = true;
            return;
        }
        if (!document.is_object() || !document.contains("choices")) {
            return;
        }
        std::vector<double> &series = stream.deltas == 0 ? m_result.firstTokenMs : m_result.gapsMs;
        series.push_back(toSeconds(now - (stream.deltas == 0 ? stream.startedAt : stream.lastDeltaAt)) * 1000);
        stream.lastDeltaAt = now;
        ++stream.deltas;
        stream.text += document["choices"][0]["delta"].value("content", std::string());
    }

    void finishStream(const Stream &stream)
    {
        m_result.deltas += static_cast<std::size_t>(stream.deltas);
        m_result.incompleteStreams += stream.hasDoneEvent && stream.deltas == m_settings.tokens ? 0 : 1;
        const std::string &expected = m_result.textByPrompt.emplace(stream.prompt, stream.text).first->second;
        m_result.mismatchedStreams += expected == stream.text ? 0 : 1;
        --m_openStreams;
        if (m_startedStreams < m_settings.requests) {
            startStream();
        } else if (m_openStreams == 0) {
            m_loop.stop();
        }
    }

public:
    explicit StreamLoad(const BenchSettings &settings)
        : m_http(m_loop)
        , m_settings(settings)
    {
    }

    Result run()
    {
        // Start the streams 3 ms apart, so that the engine's timer does not send their tokens in lockstep.
        for (std::size_t i = 0; i < std::min(m_settings.streams, m_settings.requests); ++i) {
            m_loop.timers().subscribeOnce(std::chrono::milliseconds(3) * i, [this](TimePoint) {
                startStream();
            });
        }
        m_loop.run();
        return m_result;
    }
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

void print(const char *name, std::size_t streams, const Result &result)
{
    std::printf("%-8s %7zu %8zu %7zu %9zu %9.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", name, streams, result.deltas, result.incompleteStreams,
                result.mismatchedStreams, quantile(result.firstTokenMs, 0.5), quantile(result.firstTokenMs, 0.95),
                quantile(result.firstTokenMs, 0.99), quantile(result.gapsMs, 0.5), quantile(result.gapsMs, 0.95),
                quantile(result.gapsMs, 0.99));
}

}

int main(int argc, const char **argv)
{
    char *engine = nullptr;
    char *entry = nullptr;
    char *key = nullptr;
    int requests = 200;
    const poptOption options[] = {
        {"engine", 'g', POPT_ARG_STRING, &engine, 0, "address of the fake engine", "ADDRESS:PORT"},
        {"entry", 'e', POPT_ARG_STRING, &entry, 0, "address of an entry daemon", "ADDRESS:PORT"},
        {"key", 'k', POPT_ARG_STRING, &key, 0, "API key of a client account", "KEY"},
        {"requests", 'n', POPT_ARG_INT, &requests, 0, "requests per run (default 200)", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("streambench", argc, argv, options, 0);
    const ScopeGuard freeContext([context]() {
        poptFreeContext(context);
    });
    if (poptGetNextOpt(context) < -1 || engine == nullptr || entry == nullptr || key == nullptr || requests < 1) {
        std::fprintf(stderr, "streambench: --engine, --entry and --key are required; see --help\n");
        return EXIT_FAILURE;
    }
    std::printf("%-8s %7s %8s %7s %9s %9s %8s %8s %8s %8s %8s  (ms)\n", "path", "streams", "deltas", "broken", "different", "first p50",
                "p95", "p99", "gap p50", "p95", "p99");
    std::size_t failures = 0;
    for (const std::size_t streams : {std::size_t(1), std::size_t(32), std::size_t(256)}) {
        BenchSettings settings;
        settings.streams = streams;
        settings.requests = std::max(static_cast<std::size_t>(requests), 4 * streams);
        settings.target = parseSocketAddress(engine);
        const Result direct = StreamLoad(settings).run();
        print("direct", streams, direct);
        settings.target = parseSocketAddress(entry);
        settings.key = key;
        const Result proxied = StreamLoad(settings).run();
        print("through", streams, proxied);
        std::printf("%-8s %7zu %45.2f %8.2f %8.2f\n", "added", streams,
                    quantile(proxied.firstTokenMs, 0.5) - quantile(direct.firstTokenMs, 0.5),
                    quantile(proxied.firstTokenMs, 0.95) - quantile(direct.firstTokenMs, 0.95),
                    quantile(proxied.firstTokenMs, 0.99) - quantile(direct.firstTokenMs, 0.99));
        failures += proxied.incompleteStreams + proxied.mismatchedStreams + (direct.textByPrompt == proxied.textByPrompt ? 0 : 1);
    }
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
