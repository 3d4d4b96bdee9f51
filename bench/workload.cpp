#include "bench/workload.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citronspar
{

const double accountShares[accountCount] = {0.40, 0.30, 0.15, 0.10, 0.05};

namespace
{

constexpr std::size_t documentsPerAccount = 12;
constexpr std::size_t sectionsPerDocument = 6;
constexpr std::size_t instructionBlocks = 1;
constexpr std::size_t documentBlocks = 4;
constexpr std::size_t sectionBlocks = 2;
constexpr double zipfExponent = 1.0;
constexpr double floodRateFactor = 5;
constexpr double floodPeriodSeconds = 60;
constexpr double floodDurationSeconds = 20;

std::vector<double> zipfWeights(std::size_t count)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1 / std::pow(static_cast<double>(rank), zipfExponent));
    }
    return weights;
}

/** Appends @p count blocks chained from @p hash and returns the hash of the last one. */
std::uint64_t addBlocks(std::vector<std::uint64_t> &blocks, std::uint64_t hash, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        hash = hashCombine(hash, i);
        blocks.push_back(hash);
    }
    return hash;
}

bool isFloodTime(double seconds)
{
    return std::fmod(seconds, floodPeriodSeconds) > floodPeriodSeconds - floodDurationSeconds;
}

}

std::vector<TraceRequest> makeTrace(const WorkloadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> interarrivalSeconds(settings.requestsPerSecond);
    const std::vector<double> documentWeights = zipfWeights(documentsPerAccount);
    const std::vector<double> sectionWeights = zipfWeights(sectionsPerDocument);
    std::discrete_distribution<std::size_t> documentRank(documentWeights.begin(), documentWeights.end());
    std::discrete_distribution<std::size_t> sectionIndex(sectionWeights.begin(), sectionWeights.end());
    std::uniform_int_distribution<std::int64_t> questionTokens(200, 2500);
    std::uniform_int_distribution<std::int64_t> outputTokens(50, 400);
    std::vector<std::size_t> documentByRank(documentsPerAccount);
    std::iota(documentByRank.begin(), documentByRank.end(), 0);
    std::vector<TraceRequest> trace;
    double seconds = 0;
    for (std::size_t i = 0; i < settings.requests; ++i) {
        std::vector<double> shares(accountShares, accountShares + accountCount);
        const bool isFloodActive = settings.hasFloodingAccount && isFloodTime(seconds);
        shares.back() *= isFloodActive ? floodRateFactor : 1;
        seconds += interarrivalSeconds(random) / std::accumulate(shares.begin(), shares.end(), 0.0);
        if (settings.hasPopularityShift && i == settings.requests / 2) {
            std::shuffle(documentByRank.begin(), documentByRank.end(), random);
        }
        TraceRequest request;
        request.arrival = TimePoint(std::chrono::hours(1)) + fromSeconds(seconds);
        request.account = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random);
        const std::size_t document = documentByRank[documentRank(random)];
        const std::size_t section = sectionIndex(random);
        const std::uint64_t instructionHash = addBlocks(request.blocks, hashCombine(17, request.account), instructionBlocks);
        const std::uint64_t documentHash = addBlocks(request.blocks, hashCombine(instructionHash, 100 + document), documentBlocks);
        addBlocks(request.blocks, hashCombine(documentHash, 200 + section), sectionBlocks);
        request.affinity = documentHash;
        request.promptTokens = static_cast<std::int64_t>(request.blocks.size()) * blockTokens + questionTokens(random);
        request.outputTokens = outputTokens(random);
        trace.push_back(request);
    }
    return trace;
}

}
