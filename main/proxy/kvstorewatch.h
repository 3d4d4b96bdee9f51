#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/operatorfeed.h"
#include "platform/kvevents.h"
#include "servers/storedprefixes.h"

#include <cstdint>
#include <string>

namespace citronspar
{

/** Follows the events of the store of kept KV cache, and so knows what it holds and whether it answers. */
class KvStoreWatch
{
private:
    Loop &m_loop;
    OperatorFeed &m_operators;
    StoredPrefixes &m_prefixes;
    DecisionLog &m_log;
    platform::KvEventsClient m_client;
    std::string m_source;
    std::int64_t m_since = 0;
    std::int64_t m_bootEpoch = 0;

    void ask();
    void askAfter(Duration pause);
    void take(const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure);
    void setReachable(bool isReachable);

public:
    KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operators, StoredPrefixes &prefixes, DecisionLog &log);

    void start();
};

}
