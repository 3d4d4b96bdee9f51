#pragma once

#include "core/time.h"

namespace citronspar
{

/**
 * An entry daemon's share of the KV cache store's link. Transfers run one after
 * another, and the prefill of a request waits for its transfer, so after a cold
 * start of many engines fetching takes longer than prefilling. The budget tracks
 * the backlog of the daemon's own transfers and assumes that the other daemons
 * cause the same load.
 */
class KvLinkBudget
{
private:
    double m_bytesPerSecond = 0;
    double m_backlogBytes = 0;
    TimePoint m_drainedAt = timeNever;

    void drain(TimePoint now);

public:
    /**
     * @param bytesPerSecond the bandwidth of the whole link
     * @param daemons the number of entry daemons that share it
     */
    void setLink(double bytesPerSecond, int daemons);

    /** Returns how long a transfer that starts now would wait. */
    Duration backlog(TimePoint now);

    /** Adds a transfer to the backlog. */
    void add(double bytes, TimePoint now);
};

}
