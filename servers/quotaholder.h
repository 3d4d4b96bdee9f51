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
 * keeps nothing that must last: what is granted is used at once. The bucket of an
 * account that it has not held before is nearly empty, as another daemon may
 * have granted the whole burst a moment ago; the tolerance covers the rest.
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

public:
    explicit QuotaHolder(QuotaTolerance tolerance);

    /** The operators changed what they tolerate. */
    void setTolerance(QuotaTolerance tolerance);

    /** Takes @p cost out of the account's bucket. A request may overdraw it, and what it lacks is paid back first. */
    Answer reserve(const TrafficAccount &account, double cost, TimePoint now);
};

}
