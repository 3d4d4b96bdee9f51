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

constexpr std::size_t millsPerAccount = 12;
constexpr std::size_t shiftsPerMill = 6;
constexpr std::size_t instructionBlocks = 1;
constexpr std::size_t millBlocks = 4;
constexpr std::size_t shiftBlocks = 2;
constexpr double zipfExponent = 1.0;
constexpr double floodFactor = 5;
constexpr double floodPeriodSeconds = 60;
constexpr double floodSeconds = 20;

std::vector<double> zipfWeights(std::size_t count)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1 / std::pow(static_cast<double>(rank), zipfExponent));
    }
    return weights;
}

/** Adds @p count blocks that follow on from @p hash. */
std::uint64_t addBlocks(std::vector<std::uint64_t> &blocks, std::uint64_t hash, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        hash = hashCombine(hash, i);
        blocks.push_back(hash);
    }
    return hash;
}

bool isFlooding(double seconds)
{
    return std::fmod(seconds, floodPeriodSeconds) > floodPeriodSeconds - floodSeconds;
}

}

std::vector<TraceRequest> makeTrace(const WorkloadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.requestsPerSecond);
    const std::vector<double> millWeights = zipfWeights(millsPerAccount);
    const std::vector<double> shiftWeights = zipfWeights(shiftsPerMill);
    std::discrete_distribution<std::size_t> pickRank(millWeights.begin(), millWeights.end());
    std::discrete_distribution<std::size_t> pickShift(shiftWeights.begin(), shiftWeights.end());
    std::uniform_int_distribution<std::int64_t> questionTokens(200, 2500);
    std::uniform_int_distribution<std::int64_t> outputTokens(50, 400);
    std::vector<std::size_t> millOfRank(millsPerAccount);
    std::iota(millOfRank.begin(), millOfRank.end(), 0);
    std::vector<TraceRequest> trace;
    double seconds = 0;
    for (std::size_t i = 0; i < settings.requests; ++i) {
        std::vector<double> shares(accountShares, accountShares + accountCount);
        const bool isFlood = settings.hasFlood && isFlooding(seconds);
        shares.back() *= isFlood ? floodFactor : 1;
        seconds += gap(random) / std::accumulate(shares.begin(), shares.end(), 0.0);
        if (settings.hasShift && i == settings.requests / 2) {
            std::shuffle(millOfRank.begin(), millOfRank.end(), random);
        }
        TraceRequest request;
        request.arrival = TimePoint(std::chrono::hours(1)) + fromSeconds(seconds);
        request.account = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random);
        const std::size_t mill = millOfRank[pickRank(random)];
        const std::size_t shift = pickShift(random);
        const std::uint64_t instructions = addBlocks(request.blocks, hashCombine(17, request.account), instructionBlocks);
        const std::uint64_t millHash = addBlocks(request.blocks, hashCombine(instructions, 100 + mill), millBlocks);
        addBlocks(request.blocks, hashCombine(millHash, 200 + shift), shiftBlocks);
        request.affinity = millHash;
        request.promptTokens = static_cast<std::int64_t>(request.blocks.size()) * blockTokens + questionTokens(random);
        request.outputTokens = outputTokens(random);
        trace.push_back(request);
    }
    return trace;
}

}
