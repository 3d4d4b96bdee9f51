#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** What the platform's list says of one endpoint. */
struct ListedEndpoint
{
    /** Names one incarnation, mostly. */
    std::string id;
    std::string service;
    /** "IP:port". */
    std::string address;
    std::string zone;
    int slots = 1;
    bool isDraining = false;
    /** When the endpoint started, in milliseconds since the epoch; 0 when not told. */
    std::int64_t startedMs = 0;
    /** The weights version of its first model; 0 when it has none. */
    std::int64_t weightsVersion = 0;
    std::string model;
};

/**
 * The endpoints that may take work, from the platform's list. Entries that
 * lapse while the list's store is away come back soon after its return, so a
 * removal that falls into that time takes effect only after a grace time.
 */
class EndpointDirectory
{
private:
    std::map<std::string, ListedEndpoint> m_endpoints;
    /** Removals that wait, with the time at which they take effect. */
    std::map<std::string, TimePoint> m_pendingRemovals;
    TimePoint m_lastOutage = timeNever;
    Duration m_returnGrace;
    /** What is asked for with each request, worked out anew after a change. */
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_availableByService;
    mutable std::map<std::string, std::vector<const ListedEndpoint *>> m_byAddress;
    mutable bool m_isIndexed = false;

    void index() const;

public:
    /** @param returnGrace how long after an outage a removal may be an effect of it */
    explicit EndpointDirectory(Duration returnGrace);

    /** The store did not answer at @p now. */
    void noteOutage(TimePoint now);

    void put(ListedEndpoint endpoint);
    void remove(const std::string &id, TimePoint now);

    /** Takes @p endpoints for the whole list. */
    void replaceAll(std::vector<ListedEndpoint> endpoints, TimePoint now);

    /** Carries out the removals that are due. Returns whether there was one. */
    bool applyDueRemovals(TimePoint now);

    const ListedEndpoint *find(const std::string &id) const;

    /** The endpoints of a service that may take work, by id. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &available(const std::string &service) const;

    /** All entries with an address. Valid until the next change. */
    const std::vector<const ListedEndpoint *> &atAddress(const std::string &address) const;

    const std::map<std::string, ListedEndpoint> &all() const;
};

}
