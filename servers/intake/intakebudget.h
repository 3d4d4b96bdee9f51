#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace citronspar
{

/**
 * Bounds the bytes that a daemon holds for its clients' requests. Handles many clients that send large or endless requests
 * at once and leave them unfinished: near the bound, large requests are read one after the other and the rest wait; beyond
 * it, the requests that hold most and progress least are refused. Requests that have started are never refused, so their
 * number is bounded when they start.
 */
class IntakeBudget
{
public:
    using HolderId = std::uint64_t;

    /** Requests up to this size are never made to wait. Ordinary requests are smaller; a large prompt is about as long. */
    static constexpr std::size_t smallRequestBytes = 64 * 1024;

    /** Bound if neither a setting nor the memory of the VM is known: 16 bodies of the largest default size. */
    static constexpr std::size_t defaultMaxBytes = 64U * 1024 * 1024;

    /** A body without a byte for this long has stalled; a caller on a working network sends within a few round trips. */
    static constexpr Duration stallTime = std::chrono::seconds(1);

private:
    struct Holder
    {
        std::size_t bytes = 0;
        /** Bytes until the request is complete, or until it reaches its limit if no length is announced. */
        std::size_t missingBytes = 0;
        TimePoint progressedAt{};
        bool isRunning = false;
        bool isWaiting = false;
        /** Whether the request is read although the bound is near. */
        bool isPreferred = false;
    };

    std::size_t m_maxBytes = defaultMaxBytes;
    /** Ids ascend, so the order is that of the requests' first bytes. */
    std::map<HolderId, Holder> m_holders;
    HolderId m_lastId = 0;
    std::size_t m_receivedBytes = 0;
    std::size_t m_runningBytes = 0;
    std::size_t m_outputBytes = 0;

    std::size_t waitingThreshold() const;
    bool isStalled(const Holder &holder, TimePoint now) const;
    void updatePreferred(TimePoint now);
    /** The requests being received, those to refuse first at the front. */
    std::vector<HolderId> refusalOrder(TimePoint now) const;

public:
    /** Sets the bound in bytes. */
    void setMaxBytes(std::size_t bytes);
    std::size_t maxBytes() const;

    /** All bytes held: of requests, running or not, and of output. */
    std::size_t totalBytes() const;

    /** Whether so much is held that large requests wait. */
    bool isNearBound() const;
    bool isBeyondBound() const;

    /** Sets the output that waits for clients and endpoints, in bytes. */
    void setOutputBytes(std::size_t bytes);

    /** Adds a request whose first bytes have arrived. */
    HolderId add(TimePoint now);
    void remove(HolderId id);

    /** Records that the request @p id holds @p bytes after bytes of it have arrived. */
    void recordReceived(HolderId id, std::size_t bytes, std::size_t missingBytes, TimePoint now);

    /** Records that the running request @p id holds @p bytes, with input that follows it. */
    void recordRunning(HolderId id, std::size_t bytes);

    /** Counts the complete request @p id as running. Returns false, without a change, if running requests would exceed their bound. */
    bool start(HolderId id);

    /** Whether more of the request @p id may be read now. If not, it waits until resumable() names it. */
    bool mayRead(HolderId id);

    /** The waiting requests that may be read again. */
    std::vector<HolderId> resumable(TimePoint now);

    /** The requests to refuse now: beyond the bound those that hold most, and near it stalled ones for which others wait. */
    std::vector<HolderId> refusable(TimePoint now) const;
};

}
