#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/operatorfeed.h"
#include "platform/kvevents.h"
#include "servers/storedprefixes.h"

#include <cstdint>
#include <string>

namespace citronspar
{

/** Polls the event feed of the KV cache store to track which prefixes it holds and whether it is reachable. */
class KvStoreWatch
{
private:
    Loop &m_loop;
    OperatorFeed &m_operatorFeed;
    StoredPrefixes &m_prefixes;
    DecisionLog &m_log;
    platform::KvEventsClient m_client;
    std::string m_storeAddress;
    std::int64_t m_nextEvent = 0;
    std::int64_t m_bootEpoch = 0;

    void poll();
    void pollAfter(Duration delay);
    void handleEvents(const std::optional<platform::KvEvents> &events, platform::KvEventsFailure failure);
    void setReachable(bool isReachable);

public:
    KvStoreWatch(Loop &loop, HttpPool &pool, OperatorFeed &operatorFeed, StoredPrefixes &prefixes, DecisionLog &log);

    void start();
};

}
