#include "servers/intake/intakebounds.h"

#include "servers/intake/intakebudget.h"

#include <algorithm>

namespace citronspar
{

namespace
{

constexpr double bytesPerMb = 1024 * 1024;

// A request is held once and, while its endpoint reads slowly, a second time as output. Another half is left for a daemon
// without load (11 MiB measured), for buffers that grow and for the endpoint list.
constexpr double memoryFraction = 0.25;

// A single request inside the limits is always served, also while a second one is being received.
constexpr std::uint64_t minRequests = 2;

// Buffers of responses grow by doubling, so that they take up to twice the bytes that are counted.
constexpr std::size_t responseGrowth = 2;

// Two of the largest single responses: an event of 1 MiB each.
constexpr std::size_t minResponseBytes = 2U * 1024 * 1024;

// Descriptors for the store, peers, logs and the ready and metrics ports; a daemon without load has 20.
constexpr std::size_t reservedDescriptors = 36;

// Of the rest, connections of clients get five eighths, as requests that run need a connection to an endpoint each.
constexpr std::size_t clientEighths = 5;
constexpr std::size_t eighths = 8;

}

IntakeBounds IntakeBounds::derive(double memoryMb, double intakeMemoryMb, std::size_t maxDescriptors, std::uint64_t maxRequestBytes)
{
    const double configuredMb = intakeMemoryMb > 0 ? intakeMemoryMb : memoryMb * memoryFraction;
    const std::size_t configuredBytes
        = configuredMb > 0 ? static_cast<std::size_t>(configuredMb * bytesPerMb) : IntakeBudget::defaultMaxBytes;
    const std::size_t descriptors = std::max(maxDescriptors > 0 ? maxDescriptors : defaultMaxDescriptors, reservedDescriptors + eighths);
    IntakeBounds bounds;
    bounds.maxHeldBytes = std::max(configuredBytes, static_cast<std::size_t>(minRequests * maxRequestBytes));
    bounds.maxResponseBytes = std::max(configuredBytes / responseGrowth, minResponseBytes);
    bounds.maxConnections = (descriptors - reservedDescriptors) / eighths * clientEighths;
    return bounds;
}

}
