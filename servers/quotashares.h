#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronspar
{

/**
 * Divides the granted half of client accounts' rates between the entry
 * daemons by their demand. It keeps no state that must last: a holder that
 * has just started grants nothing for the time of a lease, by which all
 * grants of an earlier holder have run out.
 */
class QuotaShares
{
private:
    struct DaemonDemand
    {
        double perSecond = 0;
        double share = 0;
        TimePoint toldAt = timeNever;
    };

    struct Account
    {
        std::map<std::string, DaemonDemand> daemons;
        TimePoint firstHeard = timeNever;
    };

    std::map<std::string, Account> m_accounts;
    std::map<std::string, TimePoint> m_daemons;

public:
    /** An entry daemon was heard of. */
    void noteDaemon(const std::string &daemon, TimePoint now);

    /** The number of entry daemons heard of lately. */
    int daemonCount(TimePoint now);

    /** Takes a daemon's demand and returns its share of the account's rate beyond the basic one. */
    double report(const std::string &daemon, const std::string &account, double perSecond, TimePoint now);
};

}
