#pragma once

#include "core/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace citronspar
{

struct TraceRequest
{
    TimePoint arrival;
    std::size_t account = 0;
    std::vector<std::uint64_t> blocks;
    /** Hash of the prefix up to the end of the document. */
    std::uint64_t affinity = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
};

/** Parameters of a generated workload. */
struct WorkloadSettings
{
    std::uint64_t seed = 1;
    std::size_t requests = 12000;
    double requestsPerSecond = 18;
    /** Whether the popularity ranks of the documents are shuffled halfway through the trace. */
    bool hasPopularityShift = false;
    /** Whether the last client account periodically sends at five times its rate. */
    bool hasFloodingAccount = false;
};

constexpr std::int64_t blockTokens = 4096;
constexpr std::size_t accountCount = 5;

/** Fraction of the requests that each client account sends. */
extern const double accountShares[accountCount];

/**
 * Generates a trace of prompts with nested prefixes: the instructions of the
 * client account, then a document, then a section of it, then a unique
 * question. Documents and sections follow a Zipf distribution, so that a few
 * are requested very often.
 */
std::vector<TraceRequest> makeTrace(const WorkloadSettings &settings);

}
