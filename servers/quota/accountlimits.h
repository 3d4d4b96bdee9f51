#pragma once

#include "servers/trafficconfig.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/** The limit of an account in one version of the traffic configuration. */
struct StatedLimit
{
    /** Version of the configuration; 0 if the sender states no limit. */
    std::int64_t version = 0;
    /** Tokens or requests per second; 0 means no limit. */
    double ratePerSecond = 0;
    double burst = 0;
};

/**
 * Decides by which limit the holder of an account grants. Handles holders whose copy of the configuration is older than that of
 * the entry daemons that ask, for example because the store gives them no response, and entry daemons that are older than the
 * holder: the limit of the newest version that any of them knows binds.
 */
class AccountLimits
{
private:
    /** Limits of newer versions than this daemon's copy, by account. */
    std::map<std::string, StatedLimit> m_newer;

public:
    /**
     * Returns the account with the limit that binds, or nullopt if the newest version that is known does not have it.
     * @param own the account in this daemon's copy, or nullptr
     * @param ownVersion version of that copy; 0 if there is none
     * @param stated the limit that the asker knows
     */
    std::optional<TrafficAccount> resolve(const std::string &name, const TrafficAccount *own, std::int64_t ownVersion,
                                          const StatedLimit &stated);

    /** Forgets the limits of versions up to @p ownVersion, which this daemon's copy has now. */
    void discardUpTo(std::int64_t ownVersion);

    /** Number of accounts whose limit is known from askers only. */
    std::size_t newerCount() const;
};

}
