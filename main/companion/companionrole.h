#pragma once

#include "drivers/decisionlog.h"
#include "drivers/httppool.h"
#include "main/daemoncore.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/operatorfeed.h"
#include "main/peerlinks.h"
#include "main/role.h"
#include "platform/engineclient.h"
#include "servers/promptledger.h"
#include "servers/quotaholder.h"
#include "servers/weightsrollout.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace citronspar
{

/** The daemon beside an engine on the users' platform: it watches the engine, gives it orders and tells the entry daemons. */
class CompanionRole : public Role
{
private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    DecisionLog m_log;
    HttpPool m_pool;
    platform::StoreClient m_store;
    OperatorFeed m_operators;
    EndpointFeed m_endpoints;
    platform::EngineClient m_engine;
    WeightsRollout m_rollout;
    QuotaHolder m_quotas;
    PromptLedger m_prompts;
    /** The entry daemons, with the time at which each was last heard of. */
    std::map<std::string, TimePoint> m_entryDaemons;
    std::string m_engineAddress;
    std::optional<platform::EngineReport> m_report;
    bool m_isAnswering = false;
    bool m_isAsking = false;
    bool m_isOrdering = false;
    /** The list of endpoints was read since weights were last named. */
    bool m_isListNew = false;
    /** The fencing token of this incarnation; 0 until the store has given one. */
    std::int64_t m_fence = 0;
    std::set<PeerNetwork::LinkId> m_subscribers;
    wire::EngineState m_told;
    TimePoint m_toldAt = timeNever;

    void takeMessage(const MessageOrigin &origin, const wire::Body &body);
    void takeHello(const MessageOrigin &origin);
    void answerReserve(const MessageOrigin &origin, const wire::Reserve &question);
    void answerProbe(const MessageOrigin &origin, const wire::Probe &probe);
    void takePrompt(const MessageOrigin &origin, const wire::Body &body);
    int countEntryDaemons(TimePoint now);
    void acquireFence();
    void tick(TimePoint now);
    void askEngine();
    void takeReport(const std::optional<platform::EngineReport> &report);
    void nameWeights();
    void act();
    void giveOrder();
    const ListedEndpoint *ownEntry() const;
    wire::EngineState stateNow();
    void tellIfChanged();
    void tell(PeerNetwork::LinkId link, const wire::EngineState &state);

public:
    CompanionRole(DaemonCore &core, PeerLinks &links, const PlatformSettings &settings);

    bool open() override;
    void applySettings(const Settings &settings) override;
    void beginStop() override;
    bool isIdle() const override;
};

}
