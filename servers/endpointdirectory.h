#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** An endpoint as listed by the platform. */
struct ListedEndpoint
{
    /** Usually unique to one incarnation of the endpoint. */
    std::string id;
    std::string service;
    /** "IP:port". */
    std::string address;
    std::string zone;
    int slots = 1;
    bool isDraining = false;
    /** Start time of the endpoint, in milliseconds since the epoch; 0 if not reported. */
    std::int64_t startedMs = 0;
    /** The weights version of the endpoint's first model; 0 if it has no model. */
    std::int64_t weightsVersion = 0;
    std::string model;
    /** The version of the endpoint's software; empty if not reported. What two versions write into one stream does not fit together. */
    std::string softwareVersion;
};

/**
 * Tracks the endpoints in the platform's list and which of them may receive
 * requests. Entries that expire during an outage of the list's store are
 * written again soon after it recovers, so removals seen in that time are
 * delayed by a grace period.
 */
class EndpointDirectory
{
private:
    std::map<std::string, ListedEndpoint> m_endpoints;
    /** Delayed removals, with the time at which each takes effect. */
    std::map<std::string, TimePoint> m_pendingRemovals;
    /** Entries that an older copy of the list has, of endpoints that were removed, and when they count as running after all. */
    std::map<std::string, std::pair<ListedEndpoint, TimePoint>> m_doubtful;

    /** What is known of an endpoint that leaves or was removed. */
    struct Departure
    {
        std::int64_t startedMs = 0;
        bool isDraining = false;
    };
    std::map<std::string, Departure> m_departures;
    TimePoint m_lastOutage = timeNever;
    Duration m_returnGrace;
    /** Lookup tables used for each request, rebuilt on the first lookup after a change. */
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_availableByService;
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_byAddress;
    mutable bool m_isIndexed = false;

    void rebuildIndex() const;
    const Departure *findDeparture(const ListedEndpoint &endpoint) const;
    void recordDeparture(const ListedEndpoint &endpoint);

public:
    /** @param returnGrace how long after an outage a removal may have been caused by it */
    explicit EndpointDirectory(Duration returnGrace);

    /** Records that the list's store was unreachable at @p now; restarts the grace period of delayed removals. */
    void recordOutage(TimePoint now);

    /** Adds an endpoint or replaces its entry. Cancels a delayed removal. An endpoint that has announced that it leaves stays so. */
    void put(ListedEndpoint endpoint);

    /** Removes an endpoint, after the grace period if an outage may have caused the removal. */
    void remove(const std::string &id, TimePoint now);

    /**
     * Replaces the whole list with @p endpoints; missing entries are removed as by remove().
     * @param isOlderCopy the list may lack changes that were received before; an endpoint that was removed is not used until
     *        it is put again, or is still listed after the time in which a dead one expires
     */
    void replaceAll(std::vector<ListedEndpoint> endpoints, TimePoint now, bool isOlderCopy = false);

    /** Applies the delayed removals that are due at @p now. Returns whether there were any. */
    bool applyDueRemovals(TimePoint now);

    /** Returns nullptr if there is no entry with this id. */
    const ListedEndpoint *find(const std::string &id) const;

    /** Returns the endpoints of a service that may receive requests, ordered by id. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &available(const std::string &service) const;

    /** Returns all entries with this address. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &atAddress(const std::string &address) const;

    const std::map<std::string, ListedEndpoint> &all() const;
};

}
