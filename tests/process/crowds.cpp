// Sends crowds of hostile connections to the daemons' ports, or requests to an endpoint whose responses never end, lets the engine
// or the KV store answer the daemons' own requests with what is no answer, and checks
// what doesn't depend on the machine's speed: the processes live, resident memory and open descriptors stay under a bound,
// and an ordinary request is answered afterwards while the crowd is still connected.

#include "core/scopeguard.h"
#include "tests/process/crowdclient.h"
#include "tests/process/crowdfleet.h"
#include "tests/process/endlessendpoint.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace citronspar;
using crowds::CrowdClient;
using crowds::CrowdFleet;
using crowds::EndlessBytes;
using crowds::EndlessEndpoint;
using crowds::ProcessUsage;

constexpr std::size_t mebibyte = 1024 * 1024;

// Twice the tests' intakeMemoryMb of 12 (a request is held and copied to be sent), 12 MiB of a daemon without load, and 12
// MiB for the buffers of the largest body while it grows and for the allocator.
constexpr std::size_t maxResidentBytes = 48 * mebibyte;

constexpr std::size_t crowdSize = 40;
constexpr std::size_t descriptorCrowdSize = 200;
/** What a body that stops short of its end lacks. */
constexpr std::size_t missingBytes = 1024;
constexpr std::size_t openBodyBytes = CrowdFleet::maxBodyBytes - missingBytes;
constexpr std::size_t farOverLimitBytes = 16 * CrowdFleet::maxBodyBytes;
constexpr std::size_t largePieceBytes = 64 * 1024;
constexpr std::size_t smallPieceBytes = 64;
constexpr std::size_t segmentBytes = 1400;

// The crowd is complete when no client has sent anything for this long.
constexpr Duration quietTime = std::chrono::milliseconds(1500);
constexpr Duration maxCrowdTime = std::chrono::seconds(40);
constexpr Duration turnInterval = std::chrono::milliseconds(2);
constexpr int attemptsAfterwards = 25;

struct Case
{
    const char *name;
    const char *target;
    std::size_t clients;
    CrowdClient::PieceMaker makePiece;
    bool isAnswering = true;
};

std::string makeHead(const std::string &framing)
{
    return "POST /plain/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\nCitronspar-Request-Id: crowd\r\n" + framing + "\r\n\r\n";
}

std::string makeChunk(std::size_t bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'c') + "\r\n";
}

/** A body in chunks, without the end. */
CrowdClient::PieceMaker chunked(std::size_t chunkBytes, std::size_t bodyBytes)
{
    return [chunkBytes, bodyBytes, chunk = makeChunk(chunkBytes)](std::size_t number) {
        if (number == 0) {
            return makeHead("Transfer-Encoding: chunked");
        }
        return number * chunkBytes <= bodyBytes ? chunk : std::string();
    };
}

/** A body of an announced length, of which the first @p bodyBytes are sent. */
CrowdClient::PieceMaker announced(std::size_t length, std::size_t pieceBytes, std::size_t bodyBytes)
{
    return [length, bodyBytes, piece = std::string(pieceBytes, 'b')](std::size_t number) {
        if (number == 0) {
            return makeHead("Content-Length: " + std::to_string(length));
        }
        return number * piece.size() <= bodyBytes ? piece : std::string();
    };
}

/** @p first, then @p piece repeated up to @p bytes. */
CrowdClient::PieceMaker repeated(const std::string &first, const std::string &piece, std::size_t bytes)
{
    return [first, piece, bytes](std::size_t number) {
        if (number == 0) {
            return first;
        }
        return number * piece.size() <= bytes ? piece : std::string();
    };
}

std::vector<Case> makeCases()
{
    const char *const front = CrowdFleet::frontAddress;
    const std::string chunkedHead = makeHead("Transfer-Encoding: chunked");
    // A peer's nonce of 16 bytes, then the length of a frame just under the limit of 16 MiB.
    const std::string frameStart = std::string(16, 'n') + std::string("\x00\xf0\x00\x00", 4);
    const std::string metricsStart = "POST /metrics HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = makeChunk(largePieceBytes);
    return {
        {"chunked, large chunks, open", front, crowdSize, chunked(largePieceBytes, openBodyBytes)},
        {"chunked, small chunks, open", front, crowdSize, chunked(smallPieceBytes, openBodyBytes)},
        {"announced length, large pieces, open", front, crowdSize, announced(CrowdFleet::maxBodyBytes, largePieceBytes, openBodyBytes)},
        {"announced length, segments, open", front, crowdSize, announced(CrowdFleet::maxBodyBytes, segmentBytes, openBodyBytes)},
        {"whole bodies that no endpoint answers", front, crowdSize,
         announced(CrowdFleet::maxBodyBytes, largePieceBytes, CrowdFleet::maxBodyBytes), false},
        {"far over the limit, announced", front, crowdSize, announced(farOverLimitBytes, largePieceBytes, farOverLimitBytes)},
        {"far over the limit, chunked", front, crowdSize, chunked(largePieceBytes, farOverLimitBytes)},
        {"heads without end", front, crowdSize, repeated("POST /plain/x HTTP/1.1\r\nHost: h\r\n", "X: y\r\n", CrowdFleet::maxBodyBytes)},
        {"trailers without end", front, crowdSize, repeated(chunkedHead + "0\r\n", "X: y\r\n", CrowdFleet::maxBodyBytes)},
        {"chunk extensions without end", front, crowdSize, repeated(chunkedHead + "1;x=", std::string(64, 'e'), CrowdFleet::maxBodyBytes)},
        {"pipelined input behind an unfinished request", front, crowdSize,
         repeated(makeHead("Content-Length: 1") + "b", makeHead("Content-Length: 1000") + std::string(1000, 'p'), openBodyBytes), false},
        {"idle connections", front, descriptorCrowdSize, repeated(std::string(), std::string(), 0)},
        {"idle connections at the ready port", CrowdFleet::readyAddress, descriptorCrowdSize, repeated(std::string(), std::string(), 0)},
        {"open bodies at the ready port", CrowdFleet::readyAddress, crowdSize, repeated(metricsStart, chunk, openBodyBytes)},
        {"open bodies at the entry daemon's metrics port", CrowdFleet::entryMetricsAddress, crowdSize,
         repeated(metricsStart, chunk, openBodyBytes)},
        {"open bodies at the endpoint daemon's metrics port", CrowdFleet::endpointMetricsAddress, crowdSize,
         repeated(metricsStart, chunk, openBodyBytes)},
        {"open frames at the entry daemon's peer port", CrowdFleet::entryPeerAddress, crowdSize,
         repeated(frameStart, std::string(largePieceBytes, 'f'), openBodyBytes)},
        {"open frames at the endpoint daemon's peer port", CrowdFleet::endpointPeerAddress, crowdSize,
         repeated(frameStart, std::string(largePieceBytes, 'f'), openBodyBytes)},
    };
}

void recordPeak(ProcessUsage &peak, const ProcessUsage &usage)
{
    peak.residentBytes = std::max(peak.residentBytes, usage.residentBytes);
    peak.descriptors = std::max(peak.descriptors, usage.descriptors);
}

bool runCase(const Case &which, const std::string &program, const std::string &folder)
{
    Loop loop;
    CrowdFleet fleet(loop, program, folder, CrowdFleet::VmSettings());
    if (!fleet.start()) {
        std::printf("FAILED  %s: the daemons did not start\n", which.name);
        return false;
    }
    fleet.setAnswering(which.isAnswering);
    ProcessUsage entryPeak;
    ProcessUsage endpointPeak;
    std::vector<std::unique_ptr<CrowdClient>> clients;
    for (std::size_t i = 0; i < which.clients; ++i) {
        clients.push_back(std::make_unique<CrowdClient>(loop, parseSocketAddress(which.target), which.makePiece));
    }
    const TimePoint endsAt = Loop::now() + maxCrowdTime;
    TimePoint lastSentAt = Loop::now();
    while (Loop::now() < endsAt && Loop::now() - lastSentAt < quietTime) {
        for (const std::unique_ptr<CrowdClient> &client : clients) {
            if (client->sendMore()) {
                lastSentAt = Loop::now();
            }
        }
        recordPeak(entryPeak, fleet.entryUsage());
        recordPeak(endpointPeak, fleet.endpointUsage());
        fleet.runFor(turnInterval);
    }
    fleet.setAnswering(true);
    const bool isServing = fleet.isServing(attemptsAfterwards);
    recordPeak(entryPeak, fleet.entryUsage());
    recordPeak(endpointPeak, fleet.endpointUsage());
    const bool isAlive = fleet.isAlive();
    const bool isBounded = std::max(entryPeak.residentBytes, endpointPeak.residentBytes) <= maxResidentBytes
        && std::max(entryPeak.descriptors, endpointPeak.descriptors) <= CrowdFleet::maxDescriptors;
    const auto closed = std::count_if(clients.begin(), clients.end(), [](const std::unique_ptr<CrowdClient> &client) {
        return client->isClosed();
    });
    const bool hasPassed = isAlive && isServing && isBounded;
    std::printf("%s  %s: alive %d, serving %d, entry %.1f MiB and %zu descriptors, endpoint %.1f MiB and %zu, %td of %zu closed\n",
                hasPassed ? "passed" : "FAILED", which.name, isAlive ? 1 : 0, isServing ? 1 : 0,
                static_cast<double>(entryPeak.residentBytes) / mebibyte, entryPeak.descriptors,
                static_cast<double>(endpointPeak.residentBytes) / mebibyte, endpointPeak.descriptors, closed, clients.size());
    std::fflush(stdout);
    return hasPassed;
}

struct EndlessCase
{
    const char *name;
    const char *path;
    EndlessBytes bytes;
};

std::vector<EndlessCase> makeEndlessCases()
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string head = status + "Citronspar-Request-Id: crowd\r\n";
    const std::string signedHead = head + "Citronspar-Server-Seal: seal-i-3\r\n";
    const std::string events = signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string noise(4096, 'x');
    const std::string chunk = makeChunk(noise.size());
    constexpr const char *plain = "/faulty/x";
    constexpr const char *stream = "/faulty-stream/x";
    // The largest parts that each single response is allowed are left open just short of their limits.
    constexpr std::size_t openHeadBytes = 60 * 1024;
    constexpr std::size_t openBodyBytes = 250 * 1024;
    constexpr std::size_t openEventBytes = 1000 * 1024;
    constexpr std::size_t endlessBytes = 4 * mebibyte;
    std::string shortLines;
    while (shortLines.size() < openHeadBytes) {
        shortLines += "X: y\r\n";
    }
    return {
        {"header lines without end", plain, {head, "X: y\r\n", endlessBytes}},
        {"header lines, open", plain, {head, "X: y\r\n", openHeadBytes}},
        {"one header line without end", plain, {head + "X: ", noise, endlessBytes}},
        {"a head of many lines, then a body that does not come", plain, {head + shortLines + "Content-Length: 9\r\n\r\n", "", 1}},
        {"interim responses without end", plain, {"", "HTTP/1.1 102 Processing\r\n\r\n", endlessBytes}},
        {"unsigned body of a length, open", plain, {head + "Content-Length: 9999999999\r\n\r\n", noise, openBodyBytes}},
        {"unsigned body in chunks, open", plain, {head + "Transfer-Encoding: chunked\r\n\r\n", chunk, openBodyBytes}},
        {"unsigned body until the end of the connection, open", plain, {head + "\r\n", noise, openBodyBytes}},
        {"unsigned body until the end of the connection, without end", plain, {head + "\r\n", noise, endlessBytes}},
        {"signed body of a length, open", plain, {signedHead + "Content-Length: 9999999999\r\n\r\n", noise, openBodyBytes}},
        {"one event, open", stream, {events, chunk, openEventBytes}},
        {"one event without end", stream, {events, chunk, endlessBytes}},
        {"bytes without end after a complete response", plain, {signedHead + "Content-Length: 2\r\n\r\nok", noise, endlessBytes}},
    };
}

std::string makeFaultyRequest(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\nCitronspar-Request-Id: crowd\r\n\r\n";
}

bool runEndlessCase(const EndlessCase &which, const std::string &program, const std::string &folder)
{
    // The daemon keeps to half of its VM's memory, as it does for its clients' requests.
    constexpr std::size_t maxEndlessResidentBytes = CrowdFleet::memoryMb * mebibyte / 2;
    constexpr std::size_t requests = 200;
    constexpr std::size_t turnsBetweenRequests = 50;
    constexpr Duration endlessQuietTime = std::chrono::milliseconds(800);
    Loop loop;
    CrowdFleet fleet(loop, program, folder, CrowdFleet::VmSettings{0, 1024});
    EndlessEndpoint endpoint(loop, parseSocketAddress(CrowdFleet::faultyAddress), which.bytes);
    if (!fleet.start()) {
        std::printf("FAILED  %s: the daemons did not start\n", which.name);
        return false;
    }
    ProcessUsage peak;
    std::vector<std::unique_ptr<CrowdClient>> clients;
    for (std::size_t i = 0; i < requests; ++i) {
        clients.push_back(std::make_unique<CrowdClient>(loop, parseSocketAddress(CrowdFleet::frontAddress),
                                                        repeated(makeFaultyRequest(which.path), std::string(), 0)));
    }
    const TimePoint endsAt = Loop::now() + maxCrowdTime;
    TimePoint lastSentAt = Loop::now();
    bool isServing = true;
    std::size_t turns = 0;
    // On a busy machine, requests can take longer than the quiet time to reach the endpoint.
    const auto isComplete = [&]() {
        return Loop::now() - lastSentAt >= endlessQuietTime && endpoint.responseCount() >= requests;
    };
    while (Loop::now() < endsAt && !isComplete()) {
        bool hasSent = endpoint.sendMore();
        for (const std::unique_ptr<CrowdClient> &client : clients) {
            hasSent = client->sendMore() || hasSent;
        }
        lastSentAt = hasSent ? Loop::now() : lastSentAt;
        recordPeak(peak, fleet.entryUsage());
        if (++turns % turnsBetweenRequests == 0) {
            isServing = fleet.isServing(1) && isServing;
        }
        fleet.runFor(turnInterval);
    }
    isServing = fleet.isServing(1) && isServing;
    recordPeak(peak, fleet.entryUsage());
    const bool isAlive = fleet.isAlive();
    const bool hasPassed = isAlive && isServing && endpoint.responseCount() >= requests && peak.residentBytes <= maxEndlessResidentBytes;
    std::printf("%s  endless: %s: alive %d, serving %d, entry %.1f MiB, %zu responses, %zu closed\n", hasPassed ? "passed" : "FAILED",
                which.name, isAlive ? 1 : 0, isServing ? 1 : 0, static_cast<double>(peak.residentBytes) / mebibyte,
                endpoint.responseCount(), endpoint.closedCount());
    std::fflush(stdout);
    return hasPassed;
}

struct FaultyServerCase
{
    const char *name;
    const char *address;
    EndlessBytes bytes;
};

/** What is no answer to a daemon's own request, from its engine or from the KV store. */
std::vector<FaultyServerCase> makeFaultyServerCases()
{
    constexpr const char *engine = CrowdFleet::engineAddress;
    constexpr const char *kvStore = CrowdFleet::kvStoreAddress;
    // Just under the limits of fetched bodies: 16 MiB, and what an entry daemon holds of all responses.
    constexpr std::size_t reportBytes = 15 * mebibyte;
    constexpr std::size_t eventsBytes = 10 * mebibyte;
    // Inside the limits of what the daemons parse: 256 KiB of a report, 4 MiB and 200,000 values of KV events.
    constexpr std::size_t parsedReportBytes = 255 * 1024;
    constexpr std::size_t parsedEventsBytes = 4 * mebibyte - 64 * 1024;
    constexpr std::size_t endlessBytes = 24 * mebibyte;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string chunk = makeChunk(4096);
    const auto lengthOf = [&status](std::size_t bytes) {
        return status + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
    };
    return {
        {"report of empty lists", engine, {lengthOf(reportBytes) + "[", "[],", reportBytes + mebibyte}},
        {"report of empty objects", engine, {lengthOf(reportBytes) + "[", "{},", reportBytes + mebibyte}},
        {"report of nested lists", engine, {lengthOf(reportBytes), "[", reportBytes + mebibyte}},
        {"report of nested lists that is parsed", engine, {lengthOf(parsedReportBytes), "[", parsedReportBytes + mebibyte}},
        {"report in chunks without end", engine, {status + "Transfer-Encoding: chunked\r\n\r\n", chunk, endlessBytes}},
        {"report until the end of the connection, without end", engine, {status + "\r\n", std::string(4096, 'x'), endlessBytes}},
        {"report with header lines without end", engine, {status, "X: y\r\n", endlessBytes}},
        {"KV events of empty lists", kvStore, {lengthOf(eventsBytes) + "[", "[],", eventsBytes + mebibyte}},
        {"KV events of nested lists", kvStore, {lengthOf(eventsBytes), "[", eventsBytes + mebibyte}},
        {"KV events that are parsed",
         kvStore,
         {lengthOf(parsedEventsBytes) + "[", "\"" + std::string(18, 'x') + "\",", parsedEventsBytes + mebibyte}},
        {"KV events in chunks without end", kvStore, {status + "Transfer-Encoding: chunked\r\n\r\n", chunk, endlessBytes}},
    };
}

// Guards against a bound on the bytes of a response only, as values take many times their bytes once they are parsed.
bool runFaultyServerCase(const FaultyServerCase &which, const std::string &program, const std::string &folder)
{
    constexpr std::size_t maxResidentServerBytes = CrowdFleet::memoryMb * mebibyte / 2;
    constexpr std::size_t responses = 3;
    constexpr std::size_t sendsInATurn = 16;
    Loop loop;
    const bool isEngine = std::string(which.address) == CrowdFleet::engineAddress;
    CrowdFleet fleet(loop, program, folder, CrowdFleet::VmSettings{0, CrowdFleet::maxDescriptors, !isEngine});
    EndlessEndpoint server(loop, parseSocketAddress(which.address), which.bytes);
    if (!fleet.start()) {
        std::printf("FAILED  faulty: %s: the daemons did not start\n", which.name);
        return false;
    }
    ProcessUsage peak;
    bool isAlive = true;
    const TimePoint endsAt = Loop::now() + maxCrowdTime;
    while (Loop::now() < endsAt && isAlive && server.closedCount() < responses) {
        // The daemons wait half a second for a report, in which the largest one has to arrive.
        for (std::size_t sends = 0; sends < sendsInATurn && server.sendMore(); ++sends) {
        }
        recordPeak(peak, isEngine ? fleet.endpointUsage() : fleet.entryUsage());
        isAlive = fleet.isAlive();
        fleet.runFor(turnInterval);
    }
    const bool isServing = isAlive && fleet.isServing(1);
    const bool hasPassed = isServing && server.closedCount() >= responses && peak.residentBytes <= maxResidentServerBytes;
    std::printf("%s  faulty: %s: alive %d, serving %d, %s daemon %.1f MiB, %zu responses closed\n", hasPassed ? "passed" : "FAILED",
                which.name, isAlive ? 1 : 0, isServing ? 1 : 0, isEngine ? "endpoint" : "entry",
                static_cast<double>(peak.residentBytes) / mebibyte, server.closedCount());
    std::fflush(stdout);
    return hasPassed;
}

/** Guards against bounds that refuse a few callers inside the limits when there is no overload. */
bool runCalm(const std::string &program, const std::string &folder)
{
    constexpr int statusOk = 200;
    constexpr int requests = 6;
    constexpr std::size_t callers = 4;
    Loop loop;
    CrowdFleet fleet(loop, program, folder, CrowdFleet::VmSettings());
    bool hasPassed = fleet.start();
    for (int i = 0; hasPassed && i < requests; ++i) {
        hasPassed = fleet.sendRequest(CrowdFleet::maxBodyBytes) == statusOk;
    }
    std::vector<std::unique_ptr<CrowdClient>> clients;
    for (std::size_t i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<CrowdClient>(loop, parseSocketAddress(CrowdFleet::frontAddress),
                                                        announced(CrowdFleet::maxBodyBytes, largePieceBytes, CrowdFleet::maxBodyBytes)));
    }
    const auto isAnswered = [](const std::unique_ptr<CrowdClient> &client) {
        return client->received().rfind("HTTP/1.1 200", 0) == 0;
    };
    const TimePoint endsAt = Loop::now() + maxCrowdTime;
    while (Loop::now() < endsAt && !std::all_of(clients.begin(), clients.end(), isAnswered)) {
        for (const std::unique_ptr<CrowdClient> &client : clients) {
            client->sendMore();
        }
        fleet.runFor(turnInterval);
    }
    const auto answered = std::count_if(clients.begin(), clients.end(), isAnswered);
    hasPassed = hasPassed && answered == static_cast<std::ptrdiff_t>(callers);
    std::printf("%s  large legal bodies in calm: %td of %zu at once answered\n", hasPassed ? "passed" : "FAILED", answered, callers);
    return hasPassed;
}

}

int main(int argc, const char **argv)
{
    char *program = nullptr;
    char *folder = nullptr;
    char *only = nullptr;
    const poptOption options[] = {
        {"program", 'p', POPT_ARG_STRING, &program, 0, "path of citronspard", "FILE"},
        {"folder", 'f', POPT_ARG_STRING, &folder, 0, "folder for settings and logs", "FOLDER"},
        {"case", 'c', POPT_ARG_STRING, &only, 0, "run only the cases whose name contains this text", "TEXT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const citronspar::ScopeGuard freeContext([context]() {
        poptFreeContext(context);
    });
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || program == nullptr || folder == nullptr) {
        std::fprintf(stderr, "%s\n", parsed < -1 ? poptStrerror(parsed) : "options --program and --folder are required");
        return EXIT_FAILURE;
    }
    std::filesystem::create_directories(folder);
    const std::string filter = only == nullptr ? std::string() : only;
    bool hasPassed = true;
    for (const Case &which : makeCases()) {
        if (std::string(which.name).find(filter) != std::string::npos) {
            hasPassed = runCase(which, program, folder) && hasPassed;
        }
    }
    for (const EndlessCase &which : makeEndlessCases()) {
        if (("endless: " + std::string(which.name)).find(filter) != std::string::npos) {
            hasPassed = runEndlessCase(which, program, folder) && hasPassed;
        }
    }
    for (const FaultyServerCase &which : makeFaultyServerCases()) {
        if (("faulty: " + std::string(which.name)).find(filter) != std::string::npos) {
            hasPassed = runFaultyServerCase(which, program, folder) && hasPassed;
        }
    }
    if (std::string("calm").find(filter) != std::string::npos) {
        hasPassed = runCalm(program, folder) && hasPassed;
    }
    return hasPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
