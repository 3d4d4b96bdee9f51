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

/** How the requests of a route are run. */
enum class RouteKind {
    /** Model work, which may be run again. */
    Model,
    /** A call that runs at most once. */
    Once,
    /** A plain call that is open to all and may be repeated. */
    Open,
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

/** Holds the buckets of one shard of client accounts. */
struct LimitHolderRow
{
    std::string daemon;
    /** The life of the daemon that holds the shard; a restarted daemon has to take the shard over anew. */
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
};

/** One version of the configuration of the whole fleet. */
class FleetState
{
public:
    /** Values that exceptions can change for one client account or endpoint. */
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
    std::map<std::string, Defaults> m_valuesByTarget;
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

    /** The defaults with the exceptions for @p target: a client account or an endpoint. */
    const Defaults &valuesFor(const std::string &target) const;
    const Roster &roster() const;
    const std::map<std::string, Account> &accounts() const;
    const std::map<std::string, Endpoint> &endpoints() const;
    const std::map<std::string, LimitHolderRow> &holders() const;

    /** The peer addresses of daemons that others have to reach, by daemon. */
    const std::map<std::string, std::string> &daemons() const;

    /** The key whose SHA-256 is @p digest, withdrawn or not. */
    const Key *findKeyByDigest(const std::string &digest) const;
    const Key *findKeyById(const std::string &id) const;
    const Account *findAccount(const std::string &id) const;
    const Endpoint *findEndpoint(const std::string &id) const;

    /** The route with the longest path that @p path begins with. */
    const Route *findRoute(const std::string &path) const;

    /** The endpoints of @p pool that are not retired. */
    std::vector<const Endpoint *> endpointsOfPool(const std::string &pool) const;

    /** The shard whose holder keeps the bucket of @p account. */
    std::string shardOf(const std::string &account) const;
};

}
