#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** What an endpoint has stated about the requests per second that it takes from all daemons together. */
struct EndpointLimit
{
    double requestsPerSecond = 0;
    TimePoint statedAt{};
};

/**
 * The request limits that the endpoints state in their responses, as one entry
 * daemon knows them. A limit is in force until a response does not state one.
 * Requests to a limited endpoint are reserved at the holder of its limit
 * (EndpointLimitHolder); without a holder, each daemon uses an even part.
 */
class EndpointLimits
{
private:
    struct Entry
    {
        EndpointLimit limit;
        /** The level of this daemon's part, in requests. */
        double level = 0;
        TimePoint refilledAt{};
        /** Where the last request was reserved; empty before the first. */
        std::string holder;
    };

    std::map<std::string, Entry> m_entries;

public:
    /**
     * Records the statement of a response.
     * @param endpoint names one start of the endpoint, as a limit ends with it
     * @param requestsPerSecond nullopt if the response states no limit
     */
    void recordStatement(const std::string &endpoint, std::optional<double> requestsPerSecond, TimePoint now);

    /** The limit in force; nullptr if there is none. Valid until the next statement. */
    const EndpointLimit *find(const std::string &endpoint) const;

    /** Records that a request is reserved at @p holder. Returns whether the previous one was reserved at another holder. */
    bool recordHolder(const std::string &endpoint, const std::string &holder);

    /** Consumes a request from this daemon's even part of the limit. Used if the holder does not answer. */
    bool tryConsumePart(const std::string &endpoint, int daemonCount, TimePoint now);
};

}
