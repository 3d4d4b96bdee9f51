#pragma once

#include "main/peerlinks.h"
#include "servers/confighistory.h"
#include "servers/fleetstate.h"
#include "servers/fleetstatereader.h"
#include "servers/freshnessguard.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** The rows of the table service that hold the configuration. */
extern const char *const fleetVersionKey;
extern const char *const fleetDocumentKey;

/**
 * Keeps this daemon's configuration at the newest version and proves that it
 * is the newest. Members of the roster ask the table and each other. All
 * others ask two parents, which pass their proofs on with their age: an entry
 * daemon's parents are roster members, an endpoint daemon's are entry daemons.
 * A daemon whose proof grows old asks the table and the roster itself.
 */
class ConfigService
{
public:
    using ChangeHandler = std::function<void(const FleetState &state)>;

private:
    DaemonCore &m_core;
    PeerLinks &m_links;
    FreshnessGuard m_guard;
    FleetStateReader m_reader;
    std::shared_ptr<const FleetState> m_state;
    nlohmann::json m_document;
    ConfigHistory m_history;
    TimePoint m_behindSince = timeNever;
    std::vector<ChangeHandler> m_changeHandlers;
    bool m_isTableReadOpen = false;
    bool m_isDocumentReadOpen = false;

    void poll(TimePoint now);
    void askTable(TimePoint now);
    void askPeers(TimePoint now);
    std::vector<std::string> peersToAsk(TimePoint now) const;
    std::vector<std::string> parents() const;
    bool isRosterMember() const;
    bool isProofOld(TimePoint now) const;
    void fetchDocument();
    void handle(const MessageOrigin &origin, const wire::Body &body);
    void answerFreshness(const MessageOrigin &origin, const wire::FreshnessQuestion &question);
    void sendSteps(PeerNetwork::LinkId link, std::int64_t haveVersion);
    void sendPush(PeerNetwork::LinkId link, std::int64_t version, std::int64_t baseVersion, const std::string &text);
    void takePush(const MessageOrigin &origin, const wire::ConfigPush &push);
    void requestSteps(PeerNetwork::LinkId link);
    void fetchWhenBehind(TimePoint now);
    void install(std::int64_t version, const nlohmann::json &document, std::shared_ptr<const FleetState> state);
    std::string addressOf(const std::string &daemon) const;

public:
    ConfigService(DaemonCore &core, PeerLinks &links);

    /** Starts to poll. */
    void start();

    /** Called after each change, and at once if there is a state already. */
    void onChange(ChangeHandler handler);

    /** Takes @p document as @p version, unless a newer one is held; false when it is not valid. */
    bool apply(std::int64_t version, const nlohmann::json &document);

    /** The present state; never null, but at version 0 before the first document. */
    const FleetState &state() const;
    std::shared_ptr<const FleetState> sharedState() const;
    const nlohmann::json &document() const;
    bool isFresh() const;
    bool isAccepted() const;
    std::vector<std::string> outstandingMembers() const;

    /**
     * Takes the next version after the present one, and keeps the step to it.
     * @param patch the JSON Patch that leads to it
     */
    bool applyPatch(std::int64_t version, const nlohmann::json &patch);

    /** Sends the last step to all members of the roster, so that they need not wait for their next poll. */
    void pushToRoster();
};

}
