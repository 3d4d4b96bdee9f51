#pragma once

#include "core/time.h"
#include "servers/quotagate.h"
#include "servers/trafficconfig.h"

#include <map>
#include <string>

namespace citronspar
{

/**
 * Holds the part of client accounts' rates that entry daemons ask for. It
 * keeps nothing that must last: what is granted is used at once, so a holder
 * that has just started begins with a nearly empty bucket; the tolerance covers
 * what that gives beyond a holder that had served all along.
 */
class QuotaHolder
{
public:
    struct Answer
    {
        bool isGranted = false;
        /** When a refused request may be tried again. */
        Duration wait{};
    };

private:
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt{};
    };

    QuotaTolerance m_tolerance;
    std::map<std::string, Bucket> m_buckets;
    TimePoint m_startedAt;

public:
    QuotaHolder(QuotaTolerance tolerance, TimePoint startedAt);

    /** The operators changed what they tolerate. */
    void setTolerance(QuotaTolerance tolerance);

    /** Takes @p cost out of the account's bucket. A request may overdraw it, and what it lacks is paid back first. */
    Answer reserve(const TrafficAccount &account, double cost, TimePoint now);
};

}
