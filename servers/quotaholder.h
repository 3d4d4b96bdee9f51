#pragma once

#include "core/time.h"
#include "servers/quotagate.h"
#include "servers/trafficconfig.h"

#include <map>
#include <string>

namespace citronspar
{

/**
 * The token buckets for the share of the client accounts' rates that entry
 * daemons request from the account's holder. The state is not persisted, as
 * grants are used at once. The bucket of an account that is new to this holder
 * starts nearly empty, because another daemon may just have granted the whole
 * burst; the tolerance covers its initial level.
 */
class QuotaHolder
{
public:
    struct Answer
    {
        bool isGranted = false;
        /** The time after which the bucket has enough for a refused request. */
        Duration retryAfter{};
    };

private:
    struct Bucket
    {
        double level = 0;
        TimePoint refilledAt{};
    };

    QuotaTolerance m_tolerance;
    std::map<std::string, Bucket> m_buckets;
    int m_daemonCount = 1;

public:
    explicit QuotaHolder(QuotaTolerance tolerance);

    void setTolerance(QuotaTolerance tolerance);

    /** Sets the number of entry daemons, which determines the share of the rates that they use without the holder. */
    void setDaemonCount(int count);

    /** Deducts @p cost from the account's bucket if granted. Accounts without a rate are not limited. A large request may make its level
     * negative. */
    Answer reserve(const TrafficAccount &account, double cost, TimePoint now);
};

}
