#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** Whether the requests of a route may be retried after an endpoint may have run them. */
enum class RetryPolicy {
    Idempotent,
    AtMostOnce,
};

/** One service of the traffic split of a route, with its weight. */
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/** Matches the requests of one host and path prefix. */
struct TrafficRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::vector<ServiceShare> split;
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    bool isStream = false;
    /** An interrupted stream may be resumed at another endpoint. */
    bool isResumable = false;
    /** Requests identify the parts of their prompt. */
    bool hasPrompt = false;
    bool needsKey = true;
    int maxAttempts = 1;
    /** 0 is the most urgent. */
    int priority = 0;
    Duration timeout = std::chrono::seconds(60);
    Duration targetLatency = std::chrono::seconds(1);
    /** The longest pause between events with which a stream is on time; zero if the route declares none. */
    Duration gapTarget = Duration::zero();
};

/** A pool of endpoints, or a KV cache store. */
struct TrafficService
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    /** Whether its endpoints are model engines. */
    bool isEngine = false;
    /** Capacity of the KV cache of one engine, in tokens. */
    std::int64_t engineTokens = 0;
    /** Generated tokens that one event of a stream carries; 0 if unknown. */
    int tokensPerEvent = 0;
    /** Size of the KV cache of one token. */
    double bytesPerToken = 0;
    /** Bandwidth of the link for KV cache transfers. */
    double kvLinkBytesPerSecond = 0;
    /** Address of the KV cache store; empty for a pool of endpoints. */
    std::string kvStoreAddress;
    /** Capacity of the KV cache store, in tokens. */
    std::int64_t kvStoreTokens = 0;
};

/** A client account with its rate limit. */
struct TrafficAccount
{
    std::string name;
    std::optional<int> priority;
    /** Whether cached prompts are not shared with other accounts. */
    bool isIsolated = false;
    /** Whether the rate limit counts tokens; otherwise it counts requests. */
    bool countsTokens = false;
    /** Tokens charged for a request that declares no token counts. */
    double plainTokens = 1;
    /** Tokens or requests per second; 0 means no limit. */
    double ratePerSecond = 0;
    double burst = 0;
};

/** Size limits and timeouts for the requests of callers. */
struct TrafficLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4U * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the traffic configuration that the operators set. */
struct TrafficConfig
{
    std::int64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::map<std::string, TrafficService> services;
    std::vector<TrafficAccount> accounts;
    /** Index in @c accounts by API key. */
    std::map<std::string, std::size_t> keys;
    TrafficLimits limits;

    /** The route of @p host with the longest prefix of @p path; nullptr if none matches. */
    const TrafficRoute *findRoute(const std::string &host, const std::string &path) const;

    /** The account of the API key @p key; nullptr if the key is unknown. */
    const TrafficAccount *findAccountByKey(const std::string &key) const;

    const TrafficAccount *findAccountByName(const std::string &name) const;

    /** All KV cache stores, ordered by name. */
    std::vector<const TrafficService *> kvStores() const;
};

/** Selects a service of @p route by the weights of its split; the same @p requestHash gives the same service. */
const std::string &chooseService(const TrafficRoute &route, std::uint64_t requestHash);

}
