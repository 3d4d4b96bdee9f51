// Compares the routing strategies on one seeded trace in virtual time.
//
// The strategies, the endpoint daemon's queue and block index, and the limits
// are the real classes; engines and network are small fakes.

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
constexpr Duration loadPeriod = std::chrono::milliseconds(500);
constexpr Duration warmUp = std::chrono::seconds(30);
constexpr Duration crashDownTime = std::chrono::seconds(5);
constexpr double burstSeconds = 20;
constexpr double rateMargin = 1.5;

struct BenchSettings
{
    std::string name = "steady";
    WorkloadSettings workload;
    EngineSettings engine;
    RoutingSettings routing;
    Duration oneWay = std::chrono::milliseconds(1);
    Duration loadLag = std::chrono::milliseconds(500);
    bool hasCrash = false;
    bool hasHerd = false;
};

struct Sample
{
    std::size_t account = 0;
    Duration wait{};
};

struct Result
{
    std::vector<Sample> samples;
    std::int64_t prefixTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t wastedTokens = 0;
    std::size_t messages = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::int64_t lateHitTokens = 0;
    std::int64_t latePrefixTokens = 0;
};

/** Runs one strategy over one trace. */
class Bench
{
private:
    struct Entry
    {
        std::unique_ptr<RoutingStrategy> strategy;
        std::vector<EndpointView> views;
    };

    BenchSettings m_settings;
    Schedule m_schedule;
    RoutingStrategy::Random m_random;
    bool m_isReference;
    std::string m_strategy;
    std::vector<std::unique_ptr<BenchEngine>> m_engines;
    std::vector<Entry> m_entries;
    LimitHolder m_limits{LimitHolder::Settings()};
    Result m_result;
    TimePoint m_start;
    Duration m_length{};
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

    void reportLoads()
    {
        std::vector<std::int64_t> loads;
        for (const std::unique_ptr<BenchEngine> &engine : m_engines) {
            loads.push_back(engine->queuedTokens("report"));
        }
        m_schedule.after(m_settings.loadLag, [this, loads]() {
            for (Entry &entry : m_entries) {
                for (std::size_t i = 0; i < engineCount; ++i) {
                    entry.views[i].reportedTokens = loads[i];
                }
            }
        });
        m_schedule.after(loadPeriod, [this]() {
            reportLoads();
        });
    }

    ProbeResult probe(std::size_t engine, const TraceRequest &request) const
    {
        const BenchEngine &probed = *m_engines[engine];
        ProbeResult result;
        result.endpoint = engine;
        // The reference sees the engine itself, the others what its daemon knows.
        const std::int64_t blocks = m_isReference ? probed.cachedBlocks(request.blocks) : probed.knownBlocks(request.blocks);
        result.cachedTokens = blocks * blockTokens;
        result.queuedTokens = probed.queuedTokens(std::to_string(request.account));
        result.prefillTokensPerSecond = m_settings.engine.prefillTokensPerSecond;
        result.canTakeWork = probed.isUp();
        return result;
    }

    void place(const TraceRequest &request, std::size_t entryIndex)
    {
        Entry &entry = m_entries[entryIndex];
        for (std::size_t i = 0; i < engineCount; ++i) {
            // A crash shows in the closed connection to the endpoint daemon.
            entry.views[i].canTakeWork = m_engines[i]->isUp();
        }
        probeNext(request, entryIndex, {}, {});
    }

    void probeNext(const TraceRequest &request, std::size_t entryIndex, std::vector<std::size_t> probed,
                   const std::vector<ProbeResult> &answers)
    {
        Entry &entry = m_entries[entryIndex];
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
        const Duration oneWay = m_isReference ? Duration::zero() : m_settings.oneWay;
        m_schedule.after(oneWay, [this, request, entryIndex, probed, answers, next, oneWay]() {
            std::vector<ProbeResult> all = answers;
            for (const std::size_t endpoint : next) {
                all.push_back(probe(endpoint, request));
            }
            m_schedule.after(oneWay, [this, request, entryIndex, probed, all]() {
                probeNext(request, entryIndex, probed, all);
            });
        });
    }

    void retry(const TraceRequest &request, std::size_t entryIndex)
    {
        m_schedule.after(std::chrono::milliseconds(10), [this, request, entryIndex]() {
            place(request, entryIndex);
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
            record(request, engine, cachedBlocks);
        };
        work.onCrash = [this, request, entryIndex]() {
            retry(request, entryIndex);
        };
        m_schedule.after(m_settings.oneWay, [this, work, engine]() {
            m_engines[engine]->submit(work);
        });
    }

    void record(const TraceRequest &request, std::size_t engine, std::int64_t cachedBlocks)
    {
        if (request.arrival - m_start < warmUp) {
            return;
        }
        const std::int64_t prefix = static_cast<std::int64_t>(request.blocks.size()) * blockTokens;
        m_result.samples.push_back(Sample{request.account, m_schedule.now() + m_settings.oneWay - request.arrival});
        m_result.prefixTokens += prefix;
        m_result.cachedTokens += cachedBlocks * blockTokens;
        const Duration sinceShift = request.arrival - m_start - m_length / 2;
        if (sinceShift >= std::chrono::seconds(5) && sinceShift < std::chrono::seconds(15)) {
            m_result.lateHitTokens += cachedBlocks * blockTokens;
            m_result.latePrefixTokens += prefix;
        }
        for (std::size_t i = static_cast<std::size_t>(cachedBlocks); i < request.blocks.size(); ++i) {
            const bool isElsewhere = std::any_of(m_engines.begin(), m_engines.end(), [&](const std::unique_ptr<BenchEngine> &other) {
                return other.get() != m_engines[engine].get() && other->hasBlock(request.blocks[i]);
            });
            m_result.wastedTokens += isElsewhere ? blockTokens : 0;
        }
    }

    void setLimits(const std::vector<TraceRequest> &trace)
    {
        double mean = 0;
        for (const TraceRequest &request : trace) {
            mean += static_cast<double>(request.promptTokens + request.outputTokens) / static_cast<double>(trace.size());
        }
        m_limits.begin(LimitRow{1, {}}, m_schedule.now());
        for (std::size_t account = 0; account < accountCount; ++account) {
            const double rate = mean * m_settings.workload.requestsPerSecond * accountShares[account] * rateMargin;
            m_limits.setAccount(std::to_string(account), rate, rate * burstSeconds, m_schedule.now());
        }
        m_limits.nextWrite(m_schedule.now());
        m_limits.writeCommitted();
    }

    void take(const TraceRequest &request, std::size_t number)
    {
        ++m_result.requests;
        m_limits.nextWrite(m_schedule.now());
        m_limits.writeCommitted();
        const double tokens = static_cast<double>(request.promptTokens + request.outputTokens);
        if (!m_limits.reserve(std::to_string(request.account), std::to_string(number), tokens, m_schedule.now()).isGranted) {
            ++m_result.refused;
            return;
        }
        place(request, number % entryCount);
    }

    void planFaults()
    {
        if (m_settings.hasCrash) {
            m_schedule.after(m_length / 3, [this]() {
                m_engines[0]->crash(crashDownTime);
            });
            m_schedule.after(m_length * 2 / 3, [this]() {
                m_engines[5]->crash(crashDownTime);
            });
        }
        if (m_settings.hasHerd) {
            m_schedule.after(m_length / 2, [this]() {
                for (std::size_t i = 0; i < entryCount / 2; ++i) {
                    m_entries[i] = makeEntry();
                }
            });
        }
    }

public:
    Bench(const BenchSettings &settings, const std::string &strategy)
        : m_settings(settings)
        , m_schedule(settings.workload.seed)
        , m_random(settings.workload.seed)
        , m_isReference(strategy == "greedy-full")
        , m_strategy(strategy)
        , m_start(m_schedule.now())
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            m_engines.push_back(std::make_unique<BenchEngine>(m_schedule, settings.engine));
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries.push_back(makeEntry());
        }
    }

    Result run()
    {
        const std::vector<TraceRequest> trace = makeTrace(m_settings.workload);
        m_length = trace.back().arrival - m_start;
        setLimits(trace);
        reportLoads();
        planFaults();
        for (std::size_t i = 0; i < trace.size(); ++i) {
            m_schedule.after(trace[i].arrival - m_start, [this, &trace, i]() {
                take(trace[i], i);
            });
        }
        m_schedule.run(m_length + std::chrono::minutes(2));
        return m_result;
    }
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const std::size_t place = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
    return values[place];
}

std::vector<double> waits(const Result &result, std::optional<std::size_t> account)
{
    std::vector<double> values;
    for (const Sample &sample : result.samples) {
        if (!account.has_value() || sample.account == *account) {
            values.push_back(toSeconds(sample.wait));
        }
    }
    return values;
}

void printRow(const std::string &name, const Result &result, std::size_t runs)
{
    double worst = 0;
    double best = 1e9;
    for (std::size_t account = 0; account < accountCount; ++account) {
        const double p99 = quantile(waits(result, account), 0.99);
        worst = std::max(worst, p99);
        best = std::min(best, p99);
    }
    const std::vector<double> all = waits(result, std::nullopt);
    const double prefix = static_cast<double>(result.prefixTokens);
    const double late
        = result.latePrefixTokens > 0 ? static_cast<double>(result.lateHitTokens) / static_cast<double>(result.latePrefixTokens) : 0;
    std::printf("%-13s %6.3f %7.3f %8.3f %7.3f %7.3f %7.3f %9.3f %8.3f %8.1f %8.1f\n", name.c_str(),
                static_cast<double>(result.cachedTokens) / prefix, late, static_cast<double>(result.wastedTokens) / prefix,
                quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99), worst, best,
                static_cast<double>(result.messages) / static_cast<double>(result.requests),
                static_cast<double>(result.refused) / static_cast<double>(runs));
}

void add(Result &total, const Result &result)
{
    total.samples.insert(total.samples.end(), result.samples.begin(), result.samples.end());
    total.prefixTokens += result.prefixTokens;
    total.cachedTokens += result.cachedTokens;
    total.wastedTokens += result.wastedTokens;
    total.messages += result.messages;
    total.requests += result.requests;
    total.refused += result.refused;
    total.lateHitTokens += result.lateHitTokens;
    total.latePrefixTokens += result.latePrefixTokens;
}

/** A case by its name, as a change of the settings. */
struct Case
{
    const char *name;
    void (*change)(BenchSettings &settings);
};

const std::array<Case, 6> cases = {{
    {"steady", [](BenchSettings &) {}},
    {"shift",
     [](BenchSettings &settings) {
         settings.workload.hasShift = true;
     }},
    {"crash",
     [](BenchSettings &settings) {
         settings.hasCrash = true;
     }},
    {"herd",
     [](BenchSettings &settings) {
         settings.hasHerd = true;
     }},
    {"late",
     [](BenchSettings &settings) {
         settings.loadLag = std::chrono::seconds(5);
         settings.engine.maxEventDelay = std::chrono::seconds(2);
         settings.engine.lostEvents = 0.01;
     }},
    {"flood",
     [](BenchSettings &settings) {
         settings.workload.hasFlood = true;
     }},
}};

void runCase(const Case &example, BenchSettings settings, int seeds, const std::string &only)
{
    settings.name = example.name;
    example.change(settings);
    std::printf("\n%s: %zu requests at %.0f/s, %zu blocks of cache, %d seeds; times in seconds\n", example.name, settings.workload.requests,
                settings.workload.requestsPerSecond, settings.engine.cacheBlocks, seeds);
    std::printf("%-13s %6s %7s %8s %7s %7s %7s %9s %8s %8s %8s\n", "strategy", "hits", "hits5s", "wasted", "p50", "p95", "p99", "worst p99",
                "best p99", "messages", "refused");
    for (const std::string &name : routingStrategyNames()) {
        if (!only.empty() && only != name) {
            continue;
        }
        Result total;
        for (int seed = 1; seed <= seeds; ++seed) {
            settings.workload.seed = static_cast<std::uint64_t>(seed);
            add(total, Bench(settings, name).run());
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
    int expectedMilliseconds = static_cast<int>(settings.engine.expectedFor.count() / 1000);
    int remembered = static_cast<int>(settings.routing.rememberedPlacements);
    const poptOption options[] = {
        {"case", 'c', POPT_ARG_STRING, &onlyCase, 0, "run one case: steady, shift, crash, herd, late or flood", "NAME"},
        {"strategy", 's', POPT_ARG_STRING, &onlyStrategy, 0, "run one strategy", "NAME"},
        {"deployment", 'd', POPT_ARG_STRING, &deployment, 0, "dar-coast (default) or scot-central: one-way delays", "NAME"},
        {"seeds", 'n', POPT_ARG_INT, &seeds, 0, "seeds per case (3)", "N"},
        {"rate", 'r', POPT_ARG_DOUBLE, &settings.workload.requestsPerSecond, 0, "requests per second (18)", "RATE"},
        {"cache-blocks", 'b', POPT_ARG_INT, &cacheBlocks, 0, "blocks of cache per engine (60)", "N"},
        {"first-probes", 0, POPT_ARG_INT, &firstProbes, 0, "endpoints probed first", "N"},
        {"more-probes", 0, POPT_ARG_INT, &moreProbes, 0, "endpoints probed besides", "N"},
        {"probe-more-above", 0, POPT_ARG_INT, &probeMoreAbove, 0, "predicted wait above which more are probed", "MS"},
        {"recompute-weight", 0, POPT_ARG_DOUBLE, &settings.routing.recomputeWeight, 0, "weight of recomputing besides the wait", "W"},
        {"expected-ms", 0, POPT_ARG_INT, &expectedMilliseconds, 0, "how long dispatched blocks are expected to be cached", "MS"},
        {"remembered", 0, POPT_ARG_INT, &remembered, 0, "placements that are remembered", "N"},
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
    settings.engine.expectedFor = std::chrono::milliseconds(expectedMilliseconds);
    settings.routing.rememberedPlacements = static_cast<std::size_t>(remembered);
    if (deployment != nullptr && std::string(deployment) == "scot-central") {
        settings.oneWay = std::chrono::microseconds(500);
    }
    for (const Case &example : cases) {
        if (onlyCase == nullptr || std::string(onlyCase) == example.name) {
            runCase(example, settings, seeds, onlyStrategy != nullptr ? onlyStrategy : "");
        }
    }
    return EXIT_SUCCESS;
}
