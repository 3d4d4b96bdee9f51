#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
 * Tracks the endpoints in the platform's list, and decides which entries count
 * and which endpoints may receive requests.
 *
 * Other writers leave entries in the list too. An entry counts once a
 * configuration has named its service; it is kept until then, as the list may
 * arrive before the configuration. It still counts after the configuration has
 * dropped the service, as requests may be running at its endpoints. Of several
 * entries that share an address, one is in force: the endpoint that has stated
 * its id there, else one of a service of the newest configuration, else the
 * most recently started.
 *
 * Entries that expire during an outage of the list's store are written again
 * soon after it recovers, so removals seen in that time are delayed by a grace
 * period.
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
    /** The services of the newest configuration; nullopt before the first one. */
    std::optional<std::set<std::string>> m_services;
    /** Services that only earlier configurations have named and that entries still name. */
    std::set<std::string> m_formerServices;
    /** The ids that endpoints have stated at addresses that several entries share. */
    std::map<std::string, std::string> m_occupants;
    /** Lookup tables used for each request, rebuilt on the first lookup after a change. */
    mutable std::vector<const ListedEndpoint *> m_counted;
    mutable std::vector<const ListedEndpoint *> m_inForce;
    mutable std::vector<const ListedEndpoint *> m_contested;
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_availableByService;
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_byAddress;
    mutable bool m_isIndexed = false;

    void rebuildIndex() const;
    void ensureIndex() const;
    bool isCounted(const ListedEndpoint &endpoint) const;
    bool isOfNewestConfig(const ListedEndpoint &endpoint) const;
    /** Whether @p other is in force at the address that both entries have, rather than @p endpoint. */
    bool isDisplacedBy(const ListedEndpoint &endpoint, const ListedEndpoint &other) const;
    void erase(std::map<std::string, ListedEndpoint>::iterator endpoint);
    const Departure *findDeparture(const ListedEndpoint &endpoint) const;
    /** Whether this start of the endpoint, or a later one, leaves or was removed. */
    bool hasDeparted(const ListedEndpoint &endpoint) const;
    void recordDeparture(const ListedEndpoint &endpoint);

public:
    /** @param returnGrace how long after an outage a removal may have been caused by it */
    explicit EndpointDirectory(Duration returnGrace);

    /** Sets the services of the newest configuration that are pools of endpoints. All entries count before the first call. */
    void setServices(const std::set<std::string> &services);

    /** Whether setServices() has been called. */
    bool hasServices() const;

    /**
     * Records that the endpoint at @p address has stated that its id is @p id. It is in force there until another start is
     * listed. Ignored unless several entries share the address and one of them has the id.
     * @return whether another endpoint was in force
     */
    bool recordOccupant(const std::string &address, const std::string &id);

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

    /** Returns nullptr if there is no entry with this id that counts. */
    const ListedEndpoint *find(const std::string &id) const;

    /** Returns the endpoints of a service that may receive requests, ordered by id. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &available(const std::string &service) const;

    /** Returns the entries with this address that count. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &atAddress(const std::string &address) const;

    /** Returns the entries that count, ordered by id. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &all() const;

    /** Returns the entries that are in force at their address, ordered by id. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &inForce() const;

    /**
     * Whether an entry with another id and no earlier start than @p startedMs is in force at @p address. It may be that of
     * another writer, so it is no proof that the endpoint @p id has ended.
     */
    bool isDisplaced(const std::string &id, const std::string &address, std::int64_t startedMs) const;

    /**
     * Returns the entries that have given way to one of another service at an address where no endpoint has stated its id. Valid
     * until the next change.
     */
    const std::vector<const ListedEndpoint *> &contested() const;
};

}
