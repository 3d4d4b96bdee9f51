#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** What may be repeated on a route. */
enum class RepeatRule {
    Idempotent,
    AtMostOnce,
};

/** One service of a route's split, with its share of the traffic. */
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/** Requests of one host and path prefix. */
struct TrafficRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::vector<ServiceShare> split;
    RepeatRule repeat = RepeatRule::AtMostOnce;
    bool isStream = false;
    /** A broken stream may go on at another endpoint. */
    bool isResumable = false;
    /** Requests name the parts of their prompt. */
    bool hasPrompt = false;
    bool needsKey = true;
    int maxAttempts = 1;
    /** 0 is the most urgent. */
    int priority = 0;
    Duration timeout = std::chrono::seconds(60);
    Duration targetLatency = std::chrono::seconds(1);
};

/** A pool of endpoints, or the store of kept KV cache. */
struct TrafficService
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    /** Whether its endpoints are model engines. */
    bool isEngine = false;
    std::int64_t engineTokens = 0;
    /** The size of one token's KV cache. */
    double bytesPerToken = 0;
    /** The link over which KV cache is moved. */
    double kvLinkBytesPerSecond = 0;
    /** The address of a store of kept KV cache; empty for a pool. */
    std::string kvStoreAddress;
};

/** A client account with its keys and its rate. */
struct TrafficAccount
{
    std::string name;
    std::optional<int> priority;
    /** Shares no cached prompt with other accounts. */
    bool isIsolated = false;
    /** Whether the rate counts tokens; else it counts requests. */
    bool countsTokens = false;
    /** What a request without token counts is charged, in tokens. */
    double plainTokens = 1;
    /** Tokens or requests a second; 0 is no limit. */
    double ratePerSecond = 0;
    double burst = 0;
};

/** What a caller may send. */
struct TrafficLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4U * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the operators' configuration for the traffic. */
struct TrafficConfig
{
    std::int64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::map<std::string, TrafficService> services;
    std::vector<TrafficAccount> accounts;
    /** Key to the place of its account in accounts. */
    std::map<std::string, std::size_t> keys;
    TrafficLimits limits;

    /** The route of a request: the longest prefix of @p host that begins @p path; nullptr when there is none. */
    const TrafficRoute *findRoute(const std::string &host, const std::string &path) const;

    /** The account that holds @p key; nullptr when none does. */
    const TrafficAccount *findAccount(const std::string &key) const;

    const TrafficAccount *findAccountByName(const std::string &name) const;

    /** The first store of kept KV cache; nullptr when there is none. */
    const TrafficService *kvStore() const;
};

/** The service of @p route for a request with @p requestHash, by the weights of the split. */
const std::string &chooseService(const TrafficRoute &route, std::uint64_t requestHash);

}
