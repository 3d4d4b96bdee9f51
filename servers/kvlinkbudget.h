#pragma once

#include "core/time.h"

namespace citronspar
{

/**
 * An entry daemon's share of the link of the store of kept KV cache. Transfers
 * run one after another, and a request waits for its own before it is read, so
 * after a cold start of many engines fetching costs more time than reading.
 * The budget follows the backlog that the daemon's own transfers make there,
 * and takes the other daemons' to be alike.
 */
class KvLinkBudget
{
private:
    double m_bytesPerSecond = 0;
    double m_backlogBytes = 0;
    TimePoint m_drainedAt = timeNever;

    void drain(TimePoint now);

public:
    /** @param bytesPerSecond of the whole link */
    void setLink(double bytesPerSecond, int daemons);

    /** How long a transfer that starts now would wait. */
    Duration backlog(TimePoint now);

    /** Takes a transfer into the backlog. */
    void add(double bytes, TimePoint now);
};

}
