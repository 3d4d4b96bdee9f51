#pragma once

#include "drivers/httpserver.h"
#include "main/configservice.h"
#include "main/daemoncore.h"
#include "main/limitservice.h"
#include "main/peerlinks.h"
#include "servers/retrybudget.h"
#include "servers/routingstrategy.h"
#include "servers/suspectlist.h"

#include <functional>

namespace citronspar
{

class Call;
class ProbeService;

/** Services of the entry role that a call depends on. */
struct CallServices
{
    DaemonCore &core;
    PeerLinks &links;
    ConfigService &config;
    LimitService &limits;
    HttpServer &server;
    ProbeService &probes;
    RetryBudget &retries;
    SuspectList &suspects;
};

}
