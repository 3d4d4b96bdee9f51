#pragma once

#include "drivers/decisionlog.h"
#include "drivers/httplistener.h"
#include "drivers/httppool.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/proxy/crashguard.h"
#include "main/proxy/enginelinks.h"
#include "main/proxy/engineprobes.h"
#include "main/proxy/quotaclient.h"
#include "main/proxy/streamversions.h"
#include "servers/endpointlimits.h"
#include "servers/endpointplacement.h"
#include "servers/endpointsignals.h"
#include "servers/keyfreshness.h"
#include "servers/quotagate.h"
#include "servers/retrybudget.h"
#include "servers/shutdownplan.h"
#include "servers/transferplanner.h"

namespace citronspar
{

class Metrics;
class RolloutClient;

/** References to the components that all requests of an entry daemon share. */
struct ProxyServices
{
    Loop &loop;
    HttpListener &listener;
    HttpPool &pool;
    OperatorFeed &operatorFeed;
    EndpointFeed &endpointFeed;
    /** Placement on model engines, which weighs cached prefixes and weights versions. */
    EndpointPlacement &enginePlacement;
    /** Placement on the endpoints of all other services. */
    EndpointPlacement &plainPlacement;
    TransferPlanner &transferPlanner;
    RetryBudget &retryBudget;
    KeyFreshness &keyFreshness;
    QuotaGate &quotaGate;
    QuotaClient &quotaClient;
    EngineLinks &engineLinks;
    EngineProbes &engineProbes;
    CrashGuard &crashGuard;
    EndpointLimits &endpointLimits;
    StreamVersions &streamVersions;
    EndpointSignals &endpointSignals;
    const ShutdownPlan &shutdown;
    DecisionLog &log;
    Metrics &metrics;
    /** How long engines with older weights may still be used after new weights were set. */
    Duration weightsDeadline;
    /** See PlatformSettings::usesEngineModel. */
    bool usesEngineModel;
    /** nullptr if roll-outs of software versions are off. */
    RolloutClient *rollouts;
};

}
