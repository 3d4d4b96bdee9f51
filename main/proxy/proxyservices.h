#pragma once

#include "drivers/decisionlog.h"
#include "drivers/httplistener.h"
#include "drivers/httppool.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/proxy/enginelinks.h"
#include "main/proxy/engineprobes.h"
#include "main/proxy/quotaclient.h"
#include "servers/endpointplacement.h"
#include "servers/keyfreshness.h"
#include "servers/quotagate.h"
#include "servers/retrybudget.h"
#include "servers/transferplanner.h"

namespace citronspar
{

class Metrics;

/** What the requests of an entry daemon share. */
struct ProxyServices
{
    Loop &loop;
    HttpListener &listener;
    HttpPool &pool;
    OperatorFeed &operators;
    EndpointFeed &endpoints;
    EndpointPlacement &engines;
    EndpointPlacement &plain;
    TransferPlanner &transfers;
    RetryBudget &retries;
    KeyFreshness &freshness;
    QuotaGate &quotas;
    QuotaClient &holders;
    EngineLinks &engineLinks;
    EngineProbes &probes;
    DecisionLog &log;
    Metrics &metrics;
    Duration weightsDeadline;
};

}
