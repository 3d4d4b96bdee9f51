#pragma once

#include "core/time.h"
#include "servers/freshnessguard.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** Execution semantics of the requests of a route. */
enum class RouteKind {
    /** Inference requests, which may be retried. */
    Model,
    /** Calls that are executed at most once. */
    AtMostOnce,
    /** Unauthenticated calls, which may be retried. */
    Unauthenticated,
};

struct Account
{
    std::string id;
    double tokensPerSecond = 0;
    double burstTokens = 0;
};

struct Key
{
    std::string id;
    std::string account;
    bool isWithdrawn = false;
};

struct Route
{
    std::string path;
    RouteKind kind = RouteKind::Model;
    std::string pool;
};

struct Endpoint
{
    std::string id;
    std::string address;
    std::string pool;
    std::string zone;
    std::string weights;
    bool isRetired = false;
};

/** The daemon that holds the token buckets of one shard of client accounts. */
struct LimitHolderRow
{
    std::string daemon;
    /** Incarnation of the daemon that holds the shard; a restarted daemon has to take over the shard again. */
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
};

/** One version of the fleet configuration. */
class FleetState
{
public:
    /** Settings that an entry of "exceptions" can override for one client account or endpoint. */
    struct Defaults
    {
        Duration deadline = std::chrono::seconds(60);
        std::int64_t maxOutputTokens = 1024;
        int maxAttempts = 3;
        std::int64_t maxQueuedTokens = 400000;
    };

private:
    std::int64_t m_version = 0;
    Defaults m_defaults;
    std::map<std::string, Defaults> m_settingsByTarget;
    Roster m_roster;
    std::map<std::string, std::string> m_daemons;
    std::map<std::string, Account> m_accounts;
    std::map<std::string, Key> m_keysByDigest;
    std::map<std::string, Key> m_keysById;
    std::map<std::string, Route> m_routes;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<std::string, LimitHolderRow> m_holders;

    friend class FleetStateReader;

public:
    std::int64_t version() const;
    const Defaults &defaults() const;

    /** The defaults with the overrides for @p target, the id of a client account or of an endpoint. */
    const Defaults &settingsFor(const std::string &target) const;
    const Roster &roster() const;
    const std::map<std::string, Account> &accounts() const;
    const std::map<std::string, Endpoint> &endpoints() const;

    /** The holders of the token buckets, by shard. */
    const std::map<std::string, LimitHolderRow> &holders() const;

    /** Peer addresses of the daemons that accept connections from other daemons, by daemon id. */
    const std::map<std::string, std::string> &daemons() const;

    /** The key whose SHA-256 is @p digest, also if it is withdrawn; nullptr if there is none. */
    const Key *findKeyByDigest(const std::string &digest) const;
    const Key *findKeyById(const std::string &id) const;
    const Account *findAccount(const std::string &id) const;
    const Endpoint *findEndpoint(const std::string &id) const;

    /** The route with the longest path that is a prefix of @p path; nullptr if none matches. */
    const Route *findRoute(const std::string &path) const;

    /** The endpoints of @p pool that are not retired. */
    std::vector<const Endpoint *> endpointsOfPool(const std::string &pool) const;

    /** The shard of the token bucket of @p account; empty if there are no shards. */
    std::string shardOf(const std::string &account) const;
};

}
