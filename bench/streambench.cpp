// Measures what the daemons add to a streamed answer: the same requests go to
// an engine stand-in directly and through an entry daemon, with a number of
// streams open at a time. Each answer must be the same text in the same order.

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

/** What came of all requests of one run. */
struct Result
{
    std::vector<double> firstToken;
    std::vector<double> gaps;
    std::map<std::size_t, std::string> texts;
    std::size_t deltas = 0;
    std::size_t broken = 0;
    std::size_t different = 0;
};

struct Stream
{
    std::size_t prompt = 0;
    SseReader reader;
    TimePoint startedAt;
    TimePoint lastDelta;
    std::string text;
    std::int64_t deltas = 0;
    bool hasEndMark = false;
};

/** Keeps a number of streams open until all requests have been sent and answered. */
class Run
{
private:
    Loop m_loop;
    HttpClient m_http;
    BenchSettings m_settings;
    Result m_result;
    std::size_t m_started = 0;
    std::size_t m_open = 0;

    void startOne()
    {
        if (m_started >= m_settings.requests) {
            return;
        }
        const std::shared_ptr<Stream> stream = std::make_shared<Stream>();
        stream->prompt = m_started % promptCount;
        stream->startedAt = Loop::now();
        ++m_started;
        ++m_open;
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
                takeEvent(*stream, event);
            }
        };
        handlers.onEnd = [this, stream](HttpEnd) {
            endOne(*stream);
        };
        m_http.send(std::move(request), std::move(handlers));
    }

    void takeEvent(Stream &stream, const std::string &event)
    {
        const TimePoint now = Loop::now();
        const json document = json::parse(event, nullptr, false);
        if (event == "[DONE]") {
            stream.hasEndMark = true;
            return;
        }
        if (!document.is_object() || !document.contains("choices")) {
            return;
        }
        std::vector<double> &series = stream.deltas == 0 ? m_result.firstToken : m_result.gaps;
        series.push_back(toSeconds(now - (stream.deltas == 0 ? stream.startedAt : stream.lastDelta)) * 1000);
        stream.lastDelta = now;
        ++stream.deltas;
        stream.text += document["choices"][0]["delta"].value("content", std::string());
    }

    void endOne(const Stream &stream)
    {
        m_result.deltas += static_cast<std::size_t>(stream.deltas);
        m_result.broken += stream.hasEndMark && stream.deltas == m_settings.tokens ? 0 : 1;
        const std::string &expected = m_result.texts.emplace(stream.prompt, stream.text).first->second;
        m_result.different += expected == stream.text ? 0 : 1;
        --m_open;
        if (m_started < m_settings.requests) {
            startOne();
        } else if (m_open == 0) {
            m_loop.stop();
        }
    }

public:
    explicit Run(const BenchSettings &settings)
        : m_http(m_loop)
        , m_settings(settings)
    {
    }

    Result run()
    {
        // The streams start one after the other, so that the engine's ticks don't line them up.
        for (std::size_t i = 0; i < std::min(m_settings.streams, m_settings.requests); ++i) {
            m_loop.timers().subscribeOnce(std::chrono::milliseconds(3) * i, [this](TimePoint) {
                startOne();
            });
        }
        m_loop.run();
        return m_result;
    }
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void print(const char *name, std::size_t streams, const Result &result)
{
    std::printf("%-8s %7zu %8zu %7zu %9zu %9.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", name, streams, result.deltas, result.broken,
                result.different, quantile(result.firstToken, 0.5), quantile(result.firstToken, 0.95), quantile(result.firstToken, 0.99),
                quantile(result.gaps, 0.5), quantile(result.gaps, 0.95), quantile(result.gaps, 0.99));
}

}

int main(int argc, const char **argv)
{
    char *engine = nullptr;
    char *entry = nullptr;
    char *key = nullptr;
    int requests = 200;
    const poptOption options[] = {
        {"engine", 'g', POPT_ARG_STRING, &engine, 0, "address of the engine stand-in", "ADDRESS:PORT"},
        {"entry", 'e', POPT_ARG_STRING, &entry, 0, "address of an entry daemon", "ADDRESS:PORT"},
        {"key", 'k', POPT_ARG_STRING, &key, 0, "key of a client account", "KEY"},
        {"requests", 'n', POPT_ARG_INT, &requests, 0, "requests per run (200)", "N"},
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
    std::size_t faults = 0;
    for (const std::size_t streams : {std::size_t(1), std::size_t(32), std::size_t(256)}) {
        BenchSettings settings;
        settings.streams = streams;
        settings.requests = std::max(static_cast<std::size_t>(requests), 4 * streams);
        settings.target = parseSocketAddress(engine);
        const Result direct = Run(settings).run();
        print("direct", streams, direct);
        settings.target = parseSocketAddress(entry);
        settings.key = key;
        const Result through = Run(settings).run();
        print("through", streams, through);
        std::printf("%-8s %7zu %45.2f %8.2f %8.2f\n", "added", streams,
                    quantile(through.firstToken, 0.5) - quantile(direct.firstToken, 0.5),
                    quantile(through.firstToken, 0.95) - quantile(direct.firstToken, 0.95),
                    quantile(through.firstToken, 0.99) - quantile(direct.firstToken, 0.99));
        faults += through.broken + through.different + (direct.texts == through.texts ? 0 : 1);
    }
    return faults == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
