#pragma once

#include "core/time.h"
#include "servers/endpointlimits.h"

#include <map>
#include <string>

namespace citronspar
{

/**
 * The token buckets of endpoints that limit their requests. One endpoint daemon
 * holds the limit of an endpoint, and all entry daemons reserve each request
 * there, so that the limit applies to their sum. A new bucket grants nothing for
 * a short time, as some entry daemons may still reserve at the previous holder.
 */
class EndpointLimitHolder
{
public:
    struct Answer
    {
        bool isGranted = false;
        /** The time after which a refused request may be granted. */
        Duration retryAfter{};
    };

private:
    struct AccountUse
    {
        /** Requests granted recently; halves with time. */
        double granted = 0;
        TimePoint decayedAt{};
        /** When the account was last refused without a grant since; timeNever if it was not. */
        TimePoint refusedAt = timeNever;
    };

    struct Bucket
    {
        EndpointLimit limit;
        double level = 0;
        TimePoint refilledAt{};
        std::map<std::string, AccountUse> accounts;
    };

    std::map<std::string, Bucket> m_buckets;

    static double initialLevel(double requestsPerSecond);
    static void refill(Bucket &bucket, TimePoint now);
    static AccountUse &useOf(Bucket &bucket, const std::string &account, TimePoint now);
    /** Whether another account that has got less was refused recently, so that the next request is due to it. */
    static bool mustYield(const Bucket &bucket, const std::string &account, TimePoint now);
    void removeUnused(TimePoint now);

public:
    /**
     * Reserves one request.
     * @param endpoint names one start of the endpoint
     * @param limit as the entry daemon knows it; the latest statement is in force
     * @param account the client account of the request; empty if it has none
     * @param isHolderNew whether the entry daemon has reserved at another holder before
     */
    Answer reserve(const std::string &endpoint, const EndpointLimit &limit, const std::string &account, bool isHolderNew, TimePoint now);
};

}
