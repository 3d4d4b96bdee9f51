// Measures how memory, time and message sizes of each component grow with its load. Each component is measured at four
// sizes that span at least a factor of ten. docs/CAPACITY.md derives its figures from the results.

#include "core/hash.h"
#include "drivers/framecodec.h"
#include "drivers/messagecodec.h"
#include "servers/blockindex.h"
#include "servers/expectedblocks.h"
#include "servers/fairqueue.h"
#include "servers/fleetstatereader.h"
#include "servers/freshnessguard.h"
#include "servers/limitholder.h"
#include "servers/promptchain.h"
#include "servers/routingstrategies.h"
#include "servers/streamassembler.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace citronspar;
using nlohmann::json;

/** Measurement of a component at one size. */
struct Measurement
{
    double size = 0;
    /** Heap memory of the state, in bytes. */
    double bytes = 0;
    /** Average time of one operation, in microseconds. */
    double microseconds = 0;
    /** Size of the messages of one operation or of the row that it writes, in bytes. */
    double messageBytes = 0;
    /** Rows written to the table per second. */
    double writesPerSecond = 0;
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

double averageMicroseconds(std::size_t count, const std::function<void()> &operation)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        operation();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(count);
}

std::size_t frameSize(const wire::Body &body)
{
    wire::Envelope envelope;
    envelope.__set_sender("entry-000");
    envelope.__set_incarnation(std::int64_t(1) << 62);
    envelope.__set_wallMicroseconds(std::int64_t(1) << 50);
    envelope.__set_wallCounter(3);
    envelope.__set_body(body);
    FrameCodec codec("0123456789abcdef", std::string(FrameCodec::nonceBytes, 'a'));
    return codec.encode(encodeEnvelope(envelope)).size();
}

json fleetDocument(std::size_t accounts)
{
    json document = {{"roster", {"a", "b", "c"}}, {"accounts", json::object()},  {"keys", json::object()},
                     {"routes", json::object()},  {"endpoints", json::object()}, {"holders", json::object()}};
    for (std::size_t i = 0; i < accounts; ++i) {
        const std::string name = "account-" + std::to_string(i);
        document["accounts"][name] = {{"tokensPerSecond", 1000.0}, {"burstTokens", 20000.0}};
        std::string digest(64, '0');
        digest.replace(0, std::to_string(i).size(), std::to_string(i));
        document["keys"]["key-" + std::to_string(i)] = {{"account", name}, {"sha256", digest}};
    }
    return document;
}

Measurement measureFleetState(double size)
{
    const json document = fleetDocument(static_cast<std::size_t>(size));
    const double before = heapBytes();
    FleetStateReader reader;
    std::shared_ptr<const FleetState> state;
    Measurement measurement;
    measurement.size = size;
    measurement.microseconds = averageMicroseconds(1, [&]() {
        state = reader.read(1, document);
    });
    measurement.bytes = heapBytes() - before;
    measurement.messageBytes = static_cast<double>(document.dump().size());
    return measurement;
}

/** One configuration change: applies a patch and reads the state again, without schema validation. */
Measurement measureFleetPatch(double size)
{
    json document = fleetDocument(static_cast<std::size_t>(size));
    FleetStateReader reader;
    const json patch = {{{"op", "add"}, {"path", "/keys/key-7/isWithdrawn"}, {"value", true}}};
    const double before = heapBytes();
    const json documentCopy = document;
    Measurement measurement;
    measurement.size = size;
    measurement.bytes = heapBytes() - before;
    measurement.messageBytes = static_cast<double>(patch.dump().size());
    measurement.microseconds = averageMicroseconds(3, [&]() {
        document = document.patch(patch);
        reader.readPrevalidated(2, document);
    });
    return measurement;
}

Measurement measureFreshness(double size)
{
    const TimePoint now{std::chrono::hours(1)};
    Roster roster;
    for (int i = 0; i < static_cast<int>(size); ++i) {
        roster.members.push_back("entry-" + std::to_string(i));
    }
    const double before = heapBytes();
    FreshnessGuard guard(FreshnessGuard::Settings(), "leaf", now);
    guard.setAppliedVersion(1, roster);
    wire::FreshnessAnswer answer;
    answer.__set_version(100000);
    answer.__set_canVouch(true);
    answer.__set_questionId(100000);
    answer.__set_proofAgeMicroseconds(400000);
    wire::Body answerBody;
    answerBody.__set_freshnessAnswer(answer);
    wire::FreshnessQuestion question;
    question.__set_questionId(100000);
    wire::Body questionBody;
    questionBody.__set_freshnessQuestion(question);
    Measurement measurement;
    measurement.size = size;
    measurement.microseconds = averageMicroseconds(2000, [&]() {
        const FreshnessGuard::QueryId id = guard.registerQuery(now);
        for (const std::string &member : roster.members) {
            guard.handleMemberAnswer(id, member, 1, true);
        }
        guard.isFresh(now);
    });
    measurement.bytes = heapBytes() - before;
    measurement.messageBytes = size * static_cast<double>(frameSize(answerBody) + frameSize(questionBody));
    return measurement;
}

Measurement measureReservations(double size)
{
    const TimePoint start{std::chrono::hours(1)};
    const double before = heapBytes();
    LimitHolder holder{LimitHolder::Settings()};
    holder.activate(LimitRow{1, {}}, start);
    std::vector<std::string> names;
    for (int i = 0; i < static_cast<int>(size); ++i) {
        names.push_back("account-" + std::to_string(i));
        holder.setAccount(names.back(), 100000, 2000000, start);
    }
    holder.nextWrite(start);
    holder.handleWriteCommit();
    Measurement measurement;
    measurement.size = size;
    measurement.bytes = heapBytes() - before;
    std::size_t number = 0;
    measurement.microseconds = averageMicroseconds(20000, [&]() {
        holder.reserve(names[number % names.size()], std::to_string(number), 10, start);
        holder.refund(std::to_string(number), 5, start);
        ++number;
    });
    LimitRow row;
    for (const std::string &name : names) {
        row.floors[name] = 123456.789;
    }
    measurement.messageBytes = static_cast<double>(json(row.floors).dump().size());
    return measurement;
}

/** The scan of all accounts for floors to write. */
Measurement measureFloorScan(double size)
{
    const TimePoint start{std::chrono::hours(1)};
    LimitHolder holder{LimitHolder::Settings()};
    holder.activate(LimitRow{1, {}}, start);
    for (int i = 0; i < static_cast<int>(size); ++i) {
        holder.setAccount("account-" + std::to_string(i), 100000, 2000000, start);
    }
    holder.nextWrite(start);
    holder.handleWriteCommit();
    Measurement measurement;
    measurement.size = size;
    measurement.microseconds = averageMicroseconds(2000, [&]() {
        holder.nextWrite(start);
    });
    return measurement;
}

/** Floor writes over half an hour: each account sends bursts of requests and uses 60% of its rate on average. */
Measurement measureFloorWrites(double size)
{
    constexpr double rate = 1000;
    constexpr double burst = 20000;
    constexpr double requestTokens = 2000;
    constexpr int seconds = 1800;
    TimePoint now{std::chrono::hours(1)};
    LimitHolder holder{LimitHolder::Settings()};
    holder.activate(LimitRow{1, {}}, now);
    for (int i = 0; i < static_cast<int>(size); ++i) {
        holder.setAccount("account-" + std::to_string(i), rate, burst, now);
    }
    std::mt19937_64 random(1);
    std::poisson_distribution<int> requests(0.6 * rate / requestTokens);
    std::int64_t number = 0;
    std::int64_t writes = 0;
    for (int tick = 0; tick < seconds * 5; ++tick) {
        now += std::chrono::milliseconds(200);
        for (int i = 0; tick % 5 == 0 && i < static_cast<int>(size); ++i) {
            for (int count = requests(random); count > 0; --count) {
                holder.reserve("account-" + std::to_string(i), std::to_string(++number), requestTokens, now);
            }
        }
        if (holder.nextWrite(now).has_value()) {
            holder.handleWriteCommit();
            ++writes;
        }
        holder.expireReservations(now);
    }
    Measurement measurement;
    measurement.size = size;
    measurement.writesPerSecond = static_cast<double>(writes) / seconds;
    return measurement;
}

Measurement measureBlockIndex(double size)
{
    const double before = heapBytes();
    BlockIndex index;
    index.reset(1, 0);
    std::int64_t sequence = 0;
    const std::size_t blocks = static_cast<std::size_t>(size);
    for (std::size_t i = 0; i < blocks; ++i) {
        index.addBlocks(1, sequence++, {hashCombine(1, i)});
    }
    Measurement measurement;
    measurement.size = size;
    measurement.bytes = heapBytes() - before;
    std::size_t next = blocks;
    measurement.microseconds = averageMicroseconds(50000,
                                                   [&]() {
                                                       index.addBlocks(1, sequence++, {hashCombine(1, next)});
                                                       index.removeBlocks(1, sequence++, {hashCombine(1, next - blocks)});
                                                       ++next;
                                                   })
        / 2;
    return measurement;
}

Measurement measureRouting(double size)
{
    std::vector<EndpointView> views(static_cast<std::size_t>(size));
    for (std::size_t i = 0; i < views.size(); ++i) {
        views[i].idHash = hashCombine(7, i);
    }
    const double before = heapBytes();
    const std::unique_ptr<RoutingStrategy> strategy = makeRoutingStrategy(defaultRoutingStrategy, RoutingSettings());
    RoutingStrategy::Random random(1);
    std::uint64_t affinity = 0;
    Measurement measurement;
    measurement.size = size;
    measurement.microseconds = averageMicroseconds(2000, [&]() {
        const RoutingRequest request{++affinity, 30000};
        const std::vector<std::size_t> probed = strategy->nextProbes(request, views, {}, {}, random);
        std::vector<ProbeResult> answers;
        for (const std::size_t endpoint : probed) {
            answers.push_back(ProbeResult{endpoint, 30000, 0, 25000, true});
        }
        strategy->nextProbes(request, views, probed, answers, random);
        strategy->choose(request, views, answers);
    });
    measurement.bytes = heapBytes() - before;
    return measurement;
}

/** A probe and its answer. The size is the number of blocks of the prompt. */
Measurement measureProbe(double size)
{
    wire::Probe probe;
    probe.__set_probeId(1000000);
    probe.__set_account("account-12345");
    std::vector<std::int64_t> blocks;
    for (std::size_t i = 0; i < static_cast<std::size_t>(size); ++i) {
        blocks.push_back(static_cast<std::int64_t>(hashCombine(3, i)));
    }
    probe.__set_blocks(blocks);
    wire::Body questionBody;
    questionBody.__set_probe(probe);
    wire::ProbeAnswer answer;
    answer.__set_probeId(1000000);
    answer.__set_cachedBlocks(7);
    answer.__set_queuedTokens(100000);
    answer.__set_engineIncarnation(std::int64_t(1) << 40);
    answer.__set_weights("weights-1");
    answer.__set_isLeaving(false);
    answer.__set_prefillTokensPerSecond(25000);
    wire::Body answerBody;
    answerBody.__set_probeAnswer(answer);
    Measurement measurement;
    measurement.size = size;
    measurement.messageBytes = static_cast<double>(frameSize(questionBody) + frameSize(answerBody));
    measurement.microseconds = averageMicroseconds(5000, [&]() {
        frameSize(questionBody);
        frameSize(answerBody);
    });
    return measurement;
}

/** A delta from the endpoint daemon to the entry daemon. The size is the length of its text in bytes. */
Measurement measureDelta(double size)
{
    wire::StreamDelta delta;
    delta.attempt.__set_incarnation(std::int64_t(1) << 62);
    delta.attempt.__set_counter(1000000);
    delta.__isset.attempt = true;
    delta.__set_index(100);
    delta.__set_data(std::string(static_cast<std::size_t>(size), 'x'));
    wire::Body body;
    body.__set_streamDelta(delta);
    wire::Envelope envelope;
    envelope.__set_body(body);
    FrameCodec sender("0123456789abcdef", std::string(FrameCodec::nonceBytes, 'a'));
    FrameCodec receiver("0123456789abcdef", std::string(FrameCodec::nonceBytes, 'b'));
    sender.decode(receiver.handshake());
    receiver.decode(sender.handshake());
    Measurement measurement;
    measurement.size = size;
    measurement.messageBytes = static_cast<double>(frameSize(body));
    measurement.microseconds = averageMicroseconds(20000, [&]() {
        const std::string bytes = sender.encode(encodeEnvelope(envelope));
        decodeEnvelope(receiver.decode(bytes)->front());
    });
    return measurement;
}

Measurement measureFairQueue(double size)
{
    const double before = heapBytes();
    FairQueue queue;
    std::int64_t number = 0;
    for (; number < static_cast<std::int64_t>(size); ++number) {
        queue.push(FairQueue::Item{{1, number}, "account-" + std::to_string(number % 50), 3000});
    }
    Measurement measurement;
    measurement.size = size;
    measurement.bytes = heapBytes() - before;
    measurement.microseconds = averageMicroseconds(2000, [&]() {
        queue.tokensAhead("account-1");
        queue.push(FairQueue::Item{{1, ++number}, "account-" + std::to_string(number % 50), 3000});
        queue.pop();
    });
    return measurement;
}

Measurement measurePromptChain(double size)
{
    const std::string prompt(static_cast<std::size_t>(size), 'p');
    Measurement measurement;
    measurement.size = size;
    measurement.microseconds = averageMicroseconds(200, [&]() {
        buildPromptChain(ChainScope{"a", "m", "", "w"}, {prompt}, 16384, 4);
    });
    return measurement;
}

/** A component and the sizes at which it is measured. */
struct Component
{
    const char *name;
    const char *unit;
    Measurement (*measure)(double size);
    std::array<double, 4> sizes;
};

const std::array<Component, 12> components = {{
    {"fleet state", "accounts with a key", measureFleetState, {2000, 5000, 10000, 20000}},
    {"fleet step", "accounts with a key", measureFleetPatch, {2000, 5000, 10000, 20000}},
    {"freshness", "roster members asked", measureFreshness, {3, 7, 15, 31}},
    {"limits", "accounts in shard", measureReservations, {20, 60, 100, 200}},
    {"floor pass", "accounts in shard", measureFloorScan, {20, 60, 100, 200}},
    {"floor writes", "accounts in shard", measureFloorWrites, {20, 60, 100, 200}},
    {"block index", "blocks of the engine", measureBlockIndex, {10000, 30000, 60000, 100000}},
    {"routing", "endpoints of the pool", measureRouting, {270, 700, 1400, 2700}},
    {"probe", "blocks of the prompt", measureProbe, {2, 7, 14, 28}},
    {"delta", "bytes of text", measureDelta, {30, 60, 120, 300}},
    {"fair queue", "queued requests", measureFairQueue, {10, 30, 60, 100}},
    {"prompt chain", "bytes of prompt", measurePromptChain, {16384, 49152, 98304, 163840}},
}};

/** Least-squares slope of @p value over the size. */
double slope(const std::array<Measurement, 4> &measurements, double Measurement::*value)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const Measurement &measurement : measurements) {
        meanSize += measurement.size / static_cast<double>(measurements.size());
        meanValue += measurement.*value / static_cast<double>(measurements.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Measurement &measurement : measurements) {
        covariance += (measurement.size - meanSize) * (measurement.*value - meanValue);
        variance += (measurement.size - meanSize) * (measurement.size - meanSize);
    }
    return covariance / variance;
}

}

int main()
{
    std::printf("%-13s %-22s %9s %12s %12s %12s %12s\n", "part", "size in", "size", "state B", "us each", "message B", "writes/s");
    for (const Component &component : components) {
        std::array<Measurement, 4> measurements;
        for (std::size_t i = 0; i < measurements.size(); ++i) {
            measurements[i] = component.measure(component.sizes[i]);
            const Measurement &measurement = measurements[i];
            std::printf("%-13s %-22s %9.0f %12.0f %12.3f %12.0f %12.4f\n", component.name, component.unit, measurement.size,
                        measurement.bytes, measurement.microseconds, measurement.messageBytes, measurement.writesPerSecond);
        }
        std::printf("%-13s slope per unit %29.2f %12.5f %12.2f %12.5f\n", component.name, slope(measurements, &Measurement::bytes),
                    slope(measurements, &Measurement::microseconds), slope(measurements, &Measurement::messageBytes),
                    slope(measurements, &Measurement::writesPerSecond));
    }
    return 0;
}
