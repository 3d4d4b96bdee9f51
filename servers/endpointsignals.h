#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/**
 * The signals in the answers of endpoints, as received by one entry daemon: that the
 * endpoint leaves, or that it wants no request for some time. Both apply to one start
 * of the endpoint, regardless of its entry in the list and of its later answers.
 */
class EndpointSignals
{
public:
    /** A longer wait is shortened to this. */
    static constexpr Duration maxWait = std::chrono::minutes(10);

private:
    struct Entry
    {
        bool isLeaving = false;
        TimePoint waitUntil = timeNever;
        TimePoint saidAt{};
    };

    std::uint64_t m_daemonHash;
    std::map<std::string, Entry> m_entries;

    Entry &entryOf(const std::string &start, TimePoint now);

public:
    /** @param daemon the name of this daemon; spreads the times at which the daemons return to an endpoint */
    explicit EndpointSignals(const std::string &daemon);

    /**
     * Records that an endpoint leaves.
     * @param start names one start of the endpoint
     * @return whether that was not known
     */
    bool recordLeaving(const std::string &start, TimePoint now);

    /** Records that an endpoint wants no request for @p wait. A wait that ends later stays in force. */
    void recordWait(const std::string &start, Duration wait, TimePoint now);

    /** Whether no signal has been received. */
    bool isEmpty() const;

    /** Whether a request may be sent to the endpoint. */
    bool isAvailable(const std::string &start, TimePoint now) const;

    /** The time until the wait of an endpoint that doesn't leave is over; nullopt if it is not waiting. */
    std::optional<Duration> remainingWait(const std::string &start, TimePoint now) const;
};

}
