// Compares the routing strategies on the same seeded trace in simulated time.
//
// The strategies, the endpoint daemon's queue and block index, and the limits
// are the real classes; engines and network are simulated.

#include "bench/benchengine.h"
#include "bench/workload.h"
#include "core/hash.h"
#include "core/scopeguard.h"
#include "servers/limitholder.h"
#include "servers/routingstrategies.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace citronspar;

constexpr std::size_t engineCount = 12;
constexpr std::size_t entryCount = 4;
constexpr Duration loadReportInterval = std::chrono::milliseconds(500);
constexpr Duration warmUpTime = std::chrono::seconds(30);
constexpr Duration crashDowntime = std::chrono::seconds(5);
constexpr double burstSeconds = 20;
constexpr double rateHeadroom = 1.5;

struct BenchSettings
{
    std::string name = "steady";
    WorkloadSettings workload;
    EngineSettings engine;
    RoutingSettings routing;
    Duration oneWayDelay = std::chrono::milliseconds(1);
    Duration loadReportDelay = std::chrono::milliseconds(500);
    bool hasEngineCrashes = false;
    bool hasEntryRestarts = false;
};

struct Sample
{
    std::size_t account = 0;
    Duration firstTokenLatency{};
};

struct Result
{
    std::vector<Sample> samples;
    std::int64_t prefixTokens = 0;
    std::int64_t cachedTokens = 0;
    /** Tokens that were prefilled although another engine had their block in its cache. */
    std::int64_t duplicatePrefillTokens = 0;
    std::size_t messages = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    /** Counts of the requests that arrived 5 to 15 s after the middle of the trace, where document popularity may shift. */
    std::int64_t cachedTokensAfterShift = 0;
    std::int64_t prefixTokensAfterShift = 0;
};

/** Simulates one routing strategy on one trace. */
class RoutingSimulation
{
private:
    struct Entry
    {
        std::unique_ptr<RoutingStrategy> strategy;
        std::vector<EndpointView> views;
    };

    BenchSettings m_settings;
    EventScheduler m_scheduler;
    RoutingStrategy::Random m_random;
    bool m_isReference;
    std::string m_strategy;
    std::vector<std::unique_ptr<BenchEngine>> m_engines;
    std::vector<Entry> m_entryDaemons;
    LimitHolder m_limits{LimitHolder::Settings()};
    Result m_result;
    TimePoint m_start;
    Duration m_traceDuration{};
    std::int64_t m_lastAttempt = 0;

    Entry makeEntry() const
    {
        Entry entry;
        entry.strategy = makeRoutingStrategy(m_strategy, m_settings.routing);
        entry.views.resize(engineCount);
        for (std::size_t i = 0; i < engineCount; ++i) {
            entry.views[i].idHash = hashBytes("model-" + std::to_string(i), 0);
        }
        return entry;
    }

    void publishLoads()
    {
        std::vector<std::int64_t> loads;
        for (const std::unique_ptr<BenchEngine> &engine : m_engines) {
            loads.push_back(engine->queuedTokens("report"));
        }
        m_scheduler.scheduleAfter(m_settings.loadReportDelay, [this, loads]() {
            for (Entry &entry : m_entryDaemons) {
                for (std::size_t i = 0; i < engineCount; ++i) {
                    entry.views[i].reportedTokens = loads[i];
                }
            }
        });
        m_scheduler.scheduleAfter(loadReportInterval, [this]() {
            publishLoads();
        });
    }

    ProbeResult probe(std::size_t engine, const TraceRequest &request) const
    {
        const BenchEngine &probed = *m_engines[engine];
        ProbeResult result;
        result.endpoint = engine;
        // The reference strategy reads the engine's cache itself, the others get the estimate of its endpoint daemon.
        const std::int64_t blocks = m_isReference ? probed.cachedBlocks(request.blocks) : probed.estimatedCachedBlocks(request.blocks);
        result.cachedTokens = blocks * blockTokens;
        result.queuedTokens = probed.queuedTokens(std::to_string(request.account));
        result.prefillTokensPerSecond = m_settings.engine.prefillTokensPerSecond;
        result.canTakeWork = probed.isUp();
        return result;
    }

    void placeRequest(const TraceRequest &request, std::size_t entryIndex)
    {
        Entry &entry = m_entryDaemons[entryIndex];
        for (std::size_t i = 0; i < engineCount; ++i) {
            // An entry daemon learns of a crash at once, as the connection to the endpoint daemon closes.
            entry.views[i].canTakeWork = m_engines[i]->isUp();
        }
        continueProbing(request, entryIndex, {}, {});
    }

    void continueProbing(const TraceRequest &request, std::size_t entryIndex, std::vector<std::size_t> probed,
                         const std::vector<ProbeResult> &answers)
    {
        Entry &entry = m_entryDaemons[entryIndex];
        const RoutingRequest routing{request.affinity, request.promptTokens};
        const std::vector<std::size_t> next = entry.strategy->nextProbes(routing, entry.views, probed, answers, m_random);
        if (next.empty()) {
            const std::optional<std::size_t> chosen = entry.strategy->choose(routing, entry.views, answers);
            if (chosen.has_value()) {
                dispatch(request, entryIndex, *chosen);
            } else {
                retry(request, entryIndex);
            }
            return;
        }
        m_result.messages += 2 * next.size();
        probed.insert(probed.end(), next.begin(), next.end());
        const Duration oneWayDelay = m_isReference ? Duration::zero() : m_settings.oneWayDelay;
        m_scheduler.scheduleAfter(oneWayDelay, [this, request, entryIndex, probed, answers, next, oneWayDelay]() {
            std::vector<ProbeResult> allAnswers = answers;
            for (const std::size_t endpoint : next) {
                allAnswers.push_back(probe(endpoint, request));
            }
            m_scheduler.scheduleAfter(oneWayDelay, [this, request, entryIndex, probed, allAnswers]() {
                continueProbing(request, entryIndex, probed, allAnswers);
            });
        });
    }

    void retry(const TraceRequest &request, std::size_t entryIndex)
    {
        m_scheduler.scheduleAfter(std::chrono::milliseconds(10), [this, request, entryIndex]() {
            placeRequest(request, entryIndex);
        });
    }

    void dispatch(const TraceRequest &request, std::size_t entryIndex, std::size_t engine)
    {
        EngineWork work;
        work.attempt = AttemptId{1, ++m_lastAttempt};
        work.account = std::to_string(request.account);
        work.blocks = request.blocks;
        work.promptTokens = request.promptTokens;
        work.outputTokens = request.outputTokens;
        work.onFirstToken = [this, request, engine](std::int64_t cachedBlocks) {
            recordFirstToken(request, engine, cachedBlocks);
        };
        work.onCrash = [this, request, entryIndex]() {
            retry(request, entryIndex);
        };
        m_scheduler.scheduleAfter(m_settings.oneWayDelay, [this, work, engine]() {
            m_engines[engine]->submit(work);
        });
    }

    void recordFirstToken(const TraceRequest &request, std::size_t engine, std::int64_t cachedBlocks)
    {
        if (request.arrival - m_start < warmUpTime) {
            return;
        }
        const std::int64_t prefix = static_cast<std::int64_t>(request.blocks.size()) * blockTokens;
        m_result.samples.push_back(Sample{request.account, m_scheduler.now() + m_settings.oneWayDelay - request.arrival});
        m_result.prefixTokens += prefix;
        m_result.cachedTokens += cachedBlocks * blockTokens;
        const Duration sinceShift = request.arrival - m_start - m_traceDuration / 2;
        if (sinceShift >= std::chrono::seconds(5) && sinceShift < std::chrono::seconds(15)) {
            m_result.cachedTokensAfterShift += cachedBlocks * blockTokens;
            m_result.prefixTokensAfterShift += prefix;
        }
        for (std::size_t i = static_cast<std::size_t>(cachedBlocks); i < request.blocks.size(); ++i) {
            const bool isCachedElsewhere = std::any_of(m_engines.begin(), m_engines.end(), [&](const std::unique_ptr<BenchEngine> &other) {
                return other.get() != m_engines[engine].get() && other->hasBlock(request.blocks[i]);
            });
            m_result.duplicatePrefillTokens += isCachedElsewhere ? blockTokens : 0;
        }
    }

    void configureLimits(const std::vector<TraceRequest> &trace)
    {
        double meanTokens = 0;
        for (const TraceRequest &request : trace) {
            meanTokens += static_cast<double>(request.promptTokens + request.outputTokens) / static_cast<double>(trace.size());
        }
        m_limits.activate(LimitRow{1, {}}, m_scheduler.now());
        for (std::size_t account = 0; account < accountCount; ++account) {
            const double rate = meanTokens * m_settings.workload.requestsPerSecond * accountShares[account] * rateHeadroom;
            m_limits.setAccount(std::to_string(account), rate, rate * burstSeconds, m_scheduler.now());
        }
        m_limits.nextWrite(m_scheduler.now());
        m_limits.handleWriteCommit();
    }

    void admitRequest(const TraceRequest &request, std::size_t number)
    {
        ++m_result.requests;
        m_limits.nextWrite(m_scheduler.now());
        m_limits.handleWriteCommit();
        const double tokens = static_cast<double>(request.promptTokens + request.outputTokens);
        if (!m_limits.reserve(std::to_string(request.account), std::to_string(number), tokens, m_scheduler.now()).isGranted) {
            ++m_result.refused;
            return;
        }
        placeRequest(request, number % entryCount);
    }

    void scheduleFaults()
    {
        if (m_settings.hasEngineCrashes) {
            m_scheduler.scheduleAfter(m_traceDuration / 3, [this]() {
                m_engines[0]->crash(crashDowntime);
            });
            m_scheduler.scheduleAfter(m_traceDuration * 2 / 3, [this]() {
                m_engines[5]->crash(crashDowntime);
            });
        }
        if (m_settings.hasEntryRestarts) {
            m_scheduler.scheduleAfter(m_traceDuration / 2, [this]() {
                for (std::size_t i = 0; i < entryCount / 2; ++i) {
                    m_entryDaemons[i] = makeEntry();
                }
            });
        }
    }

public:
    RoutingSimulation(const BenchSettings &settings, const std::string &strategy)
        : m_settings(settings)
        , m_scheduler(settings.workload.seed)
        , m_random(settings.workload.seed)
        , m_isReference(strategy == "greedy-full")
        , m_strategy(strategy)
        , m_start(m_scheduler.now())
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            m_engines.push_back(std::make_unique<BenchEngine>(m_scheduler, settings.engine));
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entryDaemons.push_back(makeEntry());
        }
    }

    Result run()
    {
        const std::vector<TraceRequest> trace = makeTrace(m_settings.workload);
        m_traceDuration = trace.back().arrival - m_start;
        configureLimits(trace);
        publishLoads();
        scheduleFaults();
        for (std::size_t i = 0; i < trace.size(); ++i) {
            m_scheduler.scheduleAfter(trace[i].arrival - m_start, [this, &trace, i]() {
                admitRequest(trace[i], i);
            });
        }
        m_scheduler.runFor(m_traceDuration + std::chrono::minutes(2));
        return m_result;
    }
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const std::size_t rank = std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

std::vector<double> firstTokenLatencies(const Result &result, std::optional<std::size_t> account)
{
    std::vector<double> values;
    for (const Sample &sample : result.samples) {
        if (!account.has_value() || sample.account == *account) {
            values.push_back(toSeconds(sample.firstTokenLatency));
        }
    }
    return values;
}

void printRow(const std::string &name, const Result &result, std::size_t runs)
{
    double worst = 0;
    double best = 1e9;
    for (std::size_t account = 0; account < accountCount; ++account) {
        const double p99 = quantile(firstTokenLatencies(result, account), 0.99);
        worst = std::max(worst, p99);
        best = std::min(best, p99);
    }
    const std::vector<double> latencies = firstTokenLatencies(result, std::nullopt);
    const double prefix = static_cast<double>(result.prefixTokens);
    const double hitRateAfterShift = result.prefixTokensAfterShift > 0
        ? static_cast<double>(result.cachedTokensAfterShift) / static_cast<double>(result.prefixTokensAfterShift)
        : 0;
    std::printf("%-13s %6.3f %7.3f %8.3f %7.3f %7.3f %7.3f %9.3f %8.3f %8.1f %8.1f\n", name.c_str(),
                static_cast<double>(result.cachedTokens) / prefix, hitRateAfterShift,
                static_cast<double>(result.duplicatePrefillTokens) / prefix, quantile(latencies, 0.5), quantile(latencies, 0.95),
                quantile(latencies, 0.99), worst, best, static_cast<double>(result.messages) / static_cast<double>(result.requests),
                static_cast<double>(result.refused) / static_cast<double>(runs));
}

void add(Result &total, const Result &result)
{
    total.samples.insert(total.samples.end(), result.samples.begin(), result.samples.end());
    total.prefixTokens += result.prefixTokens;
    total.cachedTokens += result.cachedTokens;
    total.duplicatePrefillTokens += result.duplicatePrefillTokens;
    total.messages += result.messages;
    total.requests += result.requests;
    total.refused += result.refused;
    total.cachedTokensAfterShift += result.cachedTokensAfterShift;
    total.prefixTokensAfterShift += result.prefixTokensAfterShift;
}

/** A benchmark case: a name and the settings that it changes. */
struct Case
{
    const char *name;
    void (*apply)(BenchSettings &settings);
};

const std::array<Case, 6> cases = {{
    {"steady", [](BenchSettings &) {}},
    {"shift",
     [](BenchSettings &settings) {
         settings.workload.hasPopularityShift = true;
     }},
    {"crash",
     [](BenchSettings &settings) {
         settings.hasEngineCrashes = true;
     }},
    {"herd",
     [](BenchSettings &settings) {
         settings.hasEntryRestarts = true;
     }},
    {"late",
     [](BenchSettings &settings) {
         settings.loadReportDelay = std::chrono::seconds(5);
         settings.engine.eventDelay = std::chrono::seconds(2);
         settings.engine.eventLossRate = 0.01;
     }},
    {"flood",
     [](BenchSettings &settings) {
         settings.workload.hasFloodingAccount = true;
     }},
}};

void runCase(const Case &benchCase, BenchSettings settings, int seeds, const std::string &onlyStrategy)
{
    settings.name = benchCase.name;
    benchCase.apply(settings);
    std::printf("\n%s: %zu requests at %.0f/s, %zu blocks of cache, %d seeds; times in seconds\n", benchCase.name,
                settings.workload.requests, settings.workload.requestsPerSecond, settings.engine.cacheBlocks, seeds);
    std::printf("%-13s %6s %7s %8s %7s %7s %7s %9s %8s %8s %8s\n", "strategy", "hits", "hits5s", "wasted", "p50", "p95", "p99", "worst p99",
                "best p99", "messages", "refused");
    for (const std::string &name : routingStrategyNames()) {
        if (!onlyStrategy.empty() && onlyStrategy != name) {
            continue;
        }
        Result total;
        for (int seed = 1; seed <= seeds; ++seed) {
            settings.workload.seed = static_cast<std::uint64_t>(seed);
            add(total, RoutingSimulation(settings, name).run());
        }
        printRow(name, total, static_cast<std::size_t>(seeds));
    }
}

}

int main(int argc, const char **argv)
{
    char *onlyCase = nullptr;
    char *onlyStrategy = nullptr;
    char *deployment = nullptr;
    int seeds = 3;
    BenchSettings settings;
    int cacheBlocks = static_cast<int>(settings.engine.cacheBlocks);
    int firstProbes = static_cast<int>(settings.routing.firstProbes);
    int moreProbes = static_cast<int>(settings.routing.moreProbes);
    int probeMoreAbove = static_cast<int>(settings.routing.probeMoreAbove.count() / 1000);
    int expectedMilliseconds = static_cast<int>(settings.engine.expectedBlockLifetime.count() / 1000);
    int maxRecordedPlacements = static_cast<int>(settings.routing.maxRecordedPlacements);
    const poptOption options[] = {
        {"case", 'c', POPT_ARG_STRING, &onlyCase, 0, "run one case: steady, shift, crash, herd, late or flood", "NAME"},
        {"strategy", 's', POPT_ARG_STRING, &onlyStrategy, 0, "run one strategy", "NAME"},
        {"deployment", 'd', POPT_ARG_STRING, &deployment, 0, "deployment whose network delay applies: dar-coast (default) or scot-central",
         "NAME"},
        {"seeds", 'n', POPT_ARG_INT, &seeds, 0, "seeds per case (default 3)", "N"},
        {"rate", 'r', POPT_ARG_DOUBLE, &settings.workload.requestsPerSecond, 0, "requests per second (default 18)", "RATE"},
        {"cache-blocks", 'b', POPT_ARG_INT, &cacheBlocks, 0, "cache blocks per engine (default 60)", "N"},
        {"first-probes", 0, POPT_ARG_INT, &firstProbes, 0, "endpoints probed in the first round", "N"},
        {"more-probes", 0, POPT_ARG_INT, &moreProbes, 0, "endpoints probed in the second round", "N"},
        {"probe-more-above", 0, POPT_ARG_INT, &probeMoreAbove, 0, "predicted time to first token above which a second round is probed",
         "MS"},
        {"recompute-weight", 0, POPT_ARG_DOUBLE, &settings.routing.recomputeWeight, 0,
         "additional weight of recomputed tokens in the prediction", "W"},
        {"expected-ms", 0, POPT_ARG_INT, &expectedMilliseconds, 0, "how long dispatched blocks are assumed to be cached", "MS"},
        {"remembered", 0, POPT_ARG_INT, &maxRecordedPlacements, 0, "maximum number of recorded placements", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("routingbench", argc, argv, options, 0);
    const ScopeGuard freeContext([context]() {
        poptFreeContext(context);
    });
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        std::fprintf(stderr, "routingbench: %s: %s\n", poptBadOption(context, 0), poptStrerror(parsed));
        return EXIT_FAILURE;
    }
    settings.engine.cacheBlocks = static_cast<std::size_t>(cacheBlocks);
    settings.routing.firstProbes = static_cast<std::size_t>(firstProbes);
    settings.routing.moreProbes = static_cast<std::size_t>(moreProbes);
    settings.routing.probeMoreAbove = std::chrono::milliseconds(probeMoreAbove);
    settings.engine.expectedBlockLifetime = std::chrono::milliseconds(expectedMilliseconds);
    settings.routing.maxRecordedPlacements = static_cast<std::size_t>(maxRecordedPlacements);
    if (deployment != nullptr && std::string(deployment) == "scot-central") {
        settings.oneWayDelay = std::chrono::microseconds(500);
    }
    for (const Case &benchCase : cases) {
        if (onlyCase == nullptr || std::string(onlyCase) == benchCase.name) {
            runCase(benchCase, settings, seeds, onlyStrategy != nullptr ? onlyStrategy : "");
        }
    }
    return EXIT_SUCCESS;
}
