#pragma once

#include <cstddef>
#include <cstdint>

namespace citronspar
{

/** What a daemon may hold for its clients, derived from the settings of its VM. */
struct IntakeBounds
{
    /** Descriptors if the setting is absent: those of the smallest VM. */
    static constexpr std::size_t defaultMaxDescriptors = 3072;

    /** Bytes of requests and responses that may wait. */
    std::size_t maxHeldBytes = 0;
    /** Bytes of responses of endpoints that may be held until they can be passed on. */
    std::size_t maxResponseBytes = 0;
    /** Connections of clients that may be open. */
    std::size_t maxConnections = 0;

    /**
     * @param memoryMb memory of the VM in MiB, or 0 if unknown
     * @param intakeMemoryMb the setting for maxHeldBytes in MiB, or 0 to derive it from @p memoryMb
     * @param maxDescriptors descriptors of the process, or 0 if unknown
     * @param maxRequestBytes size of the largest request that is permitted
     */
    static IntakeBounds derive(double memoryMb, double intakeMemoryMb, std::size_t maxDescriptors, std::uint64_t maxRequestBytes);
};

}
