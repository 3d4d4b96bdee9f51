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

/** Keys of the table service rows that hold the configuration. */
extern const char *const fleetVersionKey;
extern const char *const fleetDocumentKey;

/**
 * Keeps this daemon's configuration up to date and maintains a proof that it
 * is the newest version. Roster members query the table and each other. Other
 * daemons query two parents, which relay their own proofs together with the
 * age of the proof. The parents of an entry daemon are roster members, those
 * of an endpoint daemon are entry daemons. A daemon whose proof is stale
 * queries the table and the roster directly.
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
    bool m_isTableReadPending = false;
    bool m_isDocumentReadPending = false;

    void poll(TimePoint now);
    void queryTable(TimePoint now);
    void queryPeers(TimePoint now);
    std::vector<std::string> peersToQuery(TimePoint now) const;
    std::vector<std::string> parents() const;
    bool isRosterMember() const;
    bool isProofStale(TimePoint now) const;
    void fetchDocument();
    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void answerFreshness(const MessageOrigin &origin, const wire::FreshnessQuestion &question);
    void sendPatches(PeerNetwork::LinkId link, std::int64_t haveVersion);
    void sendPush(PeerNetwork::LinkId link, std::int64_t version, std::int64_t baseVersion, const std::string &text);
    void handlePush(const MessageOrigin &origin, const wire::ConfigPush &push);
    void requestPatches(PeerNetwork::LinkId link);
    void fetchIfBehind(TimePoint now);
    void install(std::int64_t version, const nlohmann::json &document, std::shared_ptr<const FleetState> state);
    std::string addressOf(const std::string &daemon) const;

public:
    ConfigService(DaemonCore &core, PeerLinks &links);

    /** Polls once and starts the poll timer. */
    void start();

    /** Calls @p handler after each configuration change, and immediately if a configuration has already been applied. */
    void onChange(ChangeHandler handler);

    /** Applies @p document as @p version. Ignores versions that are not newer. Returns false if the document is invalid. */
    bool apply(std::int64_t version, const nlohmann::json &document);

    /** The current state; has version 0 before the first document is applied. */
    const FleetState &state() const;

    /** Same as state(), with shared ownership; never null. */
    std::shared_ptr<const FleetState> sharedState() const;
    const nlohmann::json &document() const;
    bool isFresh() const;
    bool isAccepted() const;
    std::vector<std::string> unconfirmedMembers() const;

    /**
     * Applies @p patch if @p version directly follows the current version, and adds it to the history.
     * Returns false if versions in between are missing, the patch does not apply or the result is invalid.
     * @param patch JSON Patch (RFC 6902) from the current version to @p version
     */
    bool applyPatch(std::int64_t version, const nlohmann::json &patch);

    /** Sends the latest patch to all roster members, so that they don't have to wait for their next poll. */
    void pushToRoster();
};

}
